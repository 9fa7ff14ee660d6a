// A TCP proxy in front of one address, whose connections can be disturbed.
#pragma once

#include "coroutine.hpp"

#include <array>
#include <cstdint>
#include <string_view>
#include <utility>
#include <vector>

namespace soak
{

enum class link_state : std::uint8_t {
    passing,
    delaying, // every piece by `piece_delay`
    stalled,  // reads nothing from either side
    silent,   // takes bytes and drops them
    resetting // ends all connections, old and new
};

inline constexpr std::array<std::string_view, 5> link_state_names = {
    "passing", "delaying", "stalled", "silent", "resetting"};

class link
{
public:
    link(asio::io_context& context,
         const tcp::endpoint& listening,
         const tcp::endpoint& target)
        : context(context), listening(listening), target(target)
    {
        this->open();
    }
    link(const link&) = delete;
    link& operator=(const link&) = delete;

    // Like the port of the target, as seen from the other side.
    void open()
    {
        listen(this->context,
               this->listening,
               this->acceptor,
               [this](tcp::socket near) {
                   start(this->context, this->serve(std::move(near)));
               });
    }
    void close()
    {
        this->acceptor->close();
        for (const auto& one : std::exchange(this->sessions, {})) {
            if (const session_ptr open = one.lock())
                abort_both(*open);
        }
    }

    void set(link_state wanted)
    {
        this->state = wanted;
        this->changed = clock::now();
        std::erase_if(this->sessions,
                      [](const auto& one) { return one.expired(); });
        for (const auto& one : this->sessions) {
            const session_ptr open = one.lock();
            if (wanted == link_state::resetting ||
                (open->lost_bytes && wanted != link_state::silent))
                abort_both(*open);
        }
    }

    // Whether bytes that arrive now may have been sent long ago.
    bool disturbed() const
    {
        return this->state != link_state::passing ||
               clock::now() - this->changed < settle_time;
    }

private:
    static constexpr std::chrono::milliseconds settle_time{500};
    static constexpr std::chrono::milliseconds piece_delay{150};
    static constexpr std::chrono::milliseconds hold_step{10};
    static constexpr std::size_t piece_bytes = 16'384;

    struct session {
        tcp::socket near;
        tcp::socket far;
        bool lost_bytes = false; // nothing may be delivered after the gap
    };
    using session_ptr = std::shared_ptr<session>;

    static void abort_both(session& one)
    {
        abort(one.near);
        abort(one.far);
    }

    task serve(tcp::socket near)
    {
        const auto self = std::make_shared<session>(
            session{std::move(near), tcp::socket(this->context)});
        this->sessions.push_back(self);
        error_code fault;
        if (this->state != link_state::resetting)
            co_await self->far.async_connect(this->target, into(fault));
        if (fault || this->state == link_state::resetting)
            co_return abort_both(*self);
        start(this->context, this->carry(self, self->near, self->far));
        co_await this->carry(self, self->far, self->near);
    }

    task hold() const
    {
        while (this->state == link_state::stalled)
            co_await pause(this->context, hold_step);
    }

    task carry(session_ptr of, tcp::socket& from, tcp::socket& to)
    {
        std::vector<char> piece(piece_bytes);
        error_code fault;
        from.set_option(tcp::no_delay(true), fault);
        while (true) {
            co_await this->hold();
            const std::size_t count =
                co_await from.async_read_some(asio::buffer(piece), into(fault));
            co_await this->hold(); // it may have begun during the read
            if (this->state == link_state::delaying)
                co_await pause(this->context, piece_delay);
            if (this->state == link_state::silent)
                of->lost_bytes = true;
            if (of->lost_bytes && !fault)
                continue;
            if (of->lost_bytes)
                co_return;
            if (fault == asio::error::eof) {
                to.shutdown(tcp::socket::shutdown_send, fault);
                co_return;
            }
            if (!fault)
                co_await asio::async_write(
                    to, asio::buffer(piece.data(), count), into(fault));
            if (fault)
                co_return abort_both(*of);
        }
    }

    asio::io_context& context;
    std::shared_ptr<tcp::acceptor> acceptor;
    tcp::endpoint listening;
    tcp::endpoint target;
    link_state state = link_state::passing;
    clock::time_point changed{};
    std::vector<std::weak_ptr<session>> sessions;
};

} // namespace soak
