// A stand-in for an upstream: answers requests with text that names them, or
// misbehaves.
#pragma once

#include <greengagedrum/relay/message_reader.hpp>

#include "coroutine.hpp"
#include "ledger.hpp"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace soak
{

enum class upstream_state : std::uint8_t {
    serving,
    ignoring_bodies, // reads the head of a request and no more
    answering_twice,
    adding_bytes, // after a complete response
    closing_idle, // before the time that Keep-Alive names
    rejecting,    // with the promise that the request did not run
    crashed
};

inline constexpr std::array<std::string_view, 7> upstream_state_names = {
    "serving",
    "ignoring_bodies",
    "answering_twice",
    "adding_bytes",
    "closing_idle",
    "rejecting",
    "crashed"};

struct upstream_place {
    std::string name;
    std::string region;
    tcp::endpoint address;
};

class upstream
{
public:
    upstream(asio::io_context& context, upstream_place place, ledger& ledger);
    upstream(const upstream&) = delete;
    upstream& operator=(const upstream&) = delete;

    // A crash ends all connections and closes the port until another state.
    void set(upstream_state wanted);

private:
    using reader_ptr = std::unique_ptr<greengagedrum::relay::request_reader>;

    void listen();
    task accept(std::uint64_t life);
    task serve(socket_ptr connection);
    // False: the connection has ended.
    asio::awaitable<bool> read_until(tcp::socket& from,
                                     std::string& inbox,
                                     reader_ptr& reader,
                                     bool whole);
    asio::awaitable<bool> answer(tcp::socket& to, const reader_ptr& request);
    asio::awaitable<bool>
    stream(tcp::socket& to, const std::string& attempt, std::uint64_t after);
    bool begin(const greengagedrum::relay::request_head& head);
    std::string head_for(unsigned status, const std::string& attempt) const;
    std::string refusal(const std::string& attempt, unsigned status) const;

    asio::io_context& context;
    upstream_place place;
    ledger& records;
    upstream_state state = upstream_state::serving;
    std::uint64_t life = 0;
    std::optional<tcp::acceptor> acceptor;
    std::vector<std::weak_ptr<tcp::socket>> connections;
};

// A number in a request's target: "/again/?size=9" has 9 for "size".
std::size_t target_number(std::string_view target, std::string_view name);

// How many events a stream has, and their size.
inline constexpr std::uint64_t stream_events = 8;
inline constexpr std::size_t event_bytes = 200;
std::string event_for(const std::string& attempt, std::uint64_t number);

} // namespace soak
