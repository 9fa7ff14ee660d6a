#include "link.hpp"

#include <utility>

namespace soak
{

namespace
{

constexpr std::chrono::milliseconds piece_delay(150);
constexpr std::chrono::milliseconds hold_step(10);
constexpr std::size_t piece_bytes = 16'384;

} // namespace

link::link(asio::io_context& context,
           const tcp::endpoint& listening,
           const tcp::endpoint& target)
    : context(context), acceptor(context, listening), target(target)
{
    start(context, this->accept());
}

void link::abort_both(session& one)
{
    abort(one.near);
    abort(one.far);
}

void link::set(link_state wanted)
{
    this->state = wanted;
    std::erase_if(this->sessions,
                  [](const auto& one) { return one.expired(); });
    for (const auto& one : this->sessions) {
        const session_ptr open = one.lock();
        const bool dead =
            wanted == link_state::resetting ||
            (open && open->lost_bytes && wanted != link_state::silent);
        if (open && dead)
            abort_both(*open);
    }
}

task link::accept()
{
    while (true) {
        error_code fault;
        tcp::socket near = co_await this->acceptor.async_accept(into(fault));
        if (!fault)
            start(this->context, this->serve(std::move(near)));
    }
}

task link::serve(tcp::socket near)
{
    if (this->state == link_state::resetting) {
        abort(near);
        co_return;
    }
    const auto self = std::make_shared<session>(
        session{std::move(near), tcp::socket(this->context)});
    this->sessions.push_back(self);
    error_code fault;
    co_await self->far.async_connect(this->target, into(fault));
    if (fault) {
        abort_both(*self);
        co_return;
    }
    self->near.set_option(tcp::no_delay(true), fault);
    self->far.set_option(tcp::no_delay(true), fault);
    start(this->context, this->carry(self, self->near, self->far));
    co_await this->carry(self, self->far, self->near);
}

task link::hold() const
{
    while (this->state == link_state::stalled)
        co_await pause(this->context, hold_step);
}

task link::carry(session_ptr of, tcp::socket& from, tcp::socket& to)
{
    std::vector<char> piece(piece_bytes);
    while (true) {
        co_await this->hold();
        error_code fault;
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
        if (fault) {
            abort_both(*of);
            co_return;
        }
    }
}

} // namespace soak
