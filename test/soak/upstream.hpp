// A stand-in for an upstream: answers requests with text that names them, or
// misbehaves.
#pragma once

#include <greengagedrum/relay/message_reader.hpp>

#include "coroutine.hpp"
#include "ledger.hpp"

#include <array>
#include <cstdint>
#include <functional>
#include <set>
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
    "ignoring bodies",
    "answering twice",
    "adding bytes",
    "closing idle connections",
    "rejecting",
    "crashed"};

// Its upstreams run the requests of "/book/", and no others.
inline constexpr const char* bookings = "bookings";

struct upstream_place {
    std::string name;
    std::string region;
    std::string service;
    tcp::endpoint address;
};

// The bytes of a request's or response's body, as its target names them.
struct body_sizes {
    std::size_t sent = 0;
    std::size_t size = 0;

    std::string query() const
    {
        return "?sent=" + std::to_string(this->sent) +
               "&size=" + std::to_string(this->size);
    }
    static body_sizes of(const std::string& target)
    {
        const std::size_t sent = target.find("?sent=") + 6;
        const std::size_t size = target.find("&size=") + 6;
        return {std::stoul(target.substr(sent)),
                std::stoul(target.substr(size))};
    }
};

inline constexpr std::uint64_t stream_events = 8;

inline std::string event_for(const std::string& attempt, std::uint64_t number)
{
    const std::string id = std::to_string(number);
    return "id: " + id + "\ndata: " + text_for(attempt + "#" + id, 200) +
           "\n\n";
}

// What a fault of all upstreams needs to know.
struct upstream_hooks {
    using request_head = greengagedrum::relay::request_head;

    // The head of a request was read, whether it runs or not.
    std::function<void(const request_head&)> received;
    // An answer is about to be written; true: the upstream has crashed instead.
    std::function<bool(const request_head&)> crashes;
};

class upstream
{
public:
    upstream(asio::io_context& context, upstream_place place, ledger& ledger);
    upstream(const upstream&) = delete;
    upstream& operator=(const upstream&) = delete;

    // A crash ends all connections and closes the port until another state.
    void set(upstream_state wanted);

    // Beside the states: until the upstream comes back as another incarnation.
    void crash();
    void come_back(std::string name);
    bool crashed() const { return this->is_crashed; }

    const std::string& name() const { return this->place.name; }
    void observe(upstream_hooks wanted) { this->hooks = std::move(wanted); }

private:
    using connection_ptr = std::shared_ptr<tcp::socket>;
    using reader = greengagedrum::relay::request_reader;

    void accept();
    void close();
    task serve(connection_ptr connection);
    // False: the connection has ended.
    asio::awaitable<bool>
    read_until(tcp::socket& from, std::string& inbox, reader& into, bool whole);
    asio::awaitable<bool> answer(tcp::socket& to, const reader& request);
    asio::awaitable<bool>
    stream(tcp::socket& to, const std::string& attempt, std::uint64_t after);
    // Empty if the request may run, else the status that says it does not.
    std::string refusal(const greengagedrum::relay::request_head& head) const;
    void begin(const greengagedrum::relay::request_head& head);
    std::string head_for(const std::string& status,
                         const std::string& attempt) const;

    asio::io_context& context;
    upstream_place place;
    ledger& records;
    upstream_state state = upstream_state::serving;
    bool is_crashed = false;
    std::set<std::string> former_names;
    upstream_hooks hooks;
    std::shared_ptr<tcp::acceptor> acceptor;
    std::vector<std::weak_ptr<tcp::socket>> connections;
};

} // namespace soak
