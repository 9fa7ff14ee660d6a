// A TCP proxy in front of one address, whose connections can be disturbed.
#pragma once

#include "coroutine.hpp"

#include <array>
#include <cstdint>
#include <string_view>
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
         const tcp::endpoint& target);
    link(const link&) = delete;
    link& operator=(const link&) = delete;

    void set(link_state wanted);

private:
    struct session {
        tcp::socket near;
        tcp::socket far;
        bool lost_bytes = false; // nothing may be delivered after the gap
    };
    using session_ptr = std::shared_ptr<session>;

    static void abort_both(session& one);
    task accept();
    task serve(tcp::socket near);
    task carry(session_ptr of, tcp::socket& from, tcp::socket& to);
    task hold() const;

    asio::io_context& context;
    tcp::acceptor acceptor;
    tcp::endpoint target;
    link_state state = link_state::passing;
    std::vector<std::weak_ptr<session>> sessions;
};

} // namespace soak
