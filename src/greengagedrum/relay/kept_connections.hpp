// The idle connections to upstreams that another request may use.
//
// One connection at most is kept for an upstream, and a small number in all,
// since each occupies a descriptor here and a part of the upstream's limit.
// While a connection is idle, the pool waits for it to become readable: any
// byte or an end closes it. It is closed as well when its time is over, or when
// the upstream leaves or is replaced.
#pragma once

#include <greengagedrum/base/ids.hpp>
#include <greengagedrum/base/time.hpp>
#include <greengagedrum/relay/asio.hpp>

#include <cstdint>
#include <functional>
#include <list>
#include <optional>
#include <vector>

namespace greengagedrum::relay
{

// An incarnation of an upstream and where it was connected to.
struct kept_target {
    base::upstream_id upstream;
    base::ip_endpoint address;

    friend bool operator==(const kept_target&, const kept_target&) = default;
};

struct kept_totals {
    std::uint64_t opened = 0; // fresh connections
    std::uint64_t kept = 0;
    std::uint64_t reused = 0;
    std::uint64_t closed_unused = 0;
};

class kept_connections
{
public:
    // `most`: how many are kept at once; 0: none ever.
    kept_connections(asio::io_context& context, std::size_t most);
    kept_connections(const kept_connections&) = delete;
    kept_connections& operator=(const kept_connections&) = delete;

    // Keeps the connection for that time. It replaces the one kept for the same
    // upstream; beyond the bound, the one kept longest ago is closed.
    void
    keep(const kept_target& to, tcp::socket connection, base::duration time);

    // The connection kept for exactly this target, if it is still silent and
    // open.
    std::optional<tcp::socket> take(const kept_target& to);

    void close(base::upstream_id upstream);
    // Closes those of the upstream that lead to another address.
    void close_other_addresses(const kept_target& current);
    // Closes all and keeps none from now on.
    void shut_down();

    bool enabled() const { return this->most > 0; }
    std::size_t size() const { return this->idle.size(); }
    // The upstreams with a kept connection, latest first, at most `count`.
    std::vector<base::upstream_id> freshest(std::size_t count) const;
    const kept_totals& totals() const { return this->counts; }
    // A fresh connection was opened by a send.
    void count_opened() { this->counts.opened += 1; }

    // The list of upstreams with a kept connection has changed.
    std::function<void()> on_change = [] {};

private:
    struct idle_connection {
        std::uint64_t number;
        kept_target target;
        tcp::socket socket;
        asio::steady_timer timer;
    };

    void watch(idle_connection& one);
    void close_number(std::uint64_t number);
    template <class Condition>
    void close_if(Condition matches);

    asio::io_context& context;
    std::size_t most;
    std::list<idle_connection> idle; // latest first
    std::uint64_t next_number = 1;
    kept_totals counts;
};

} // namespace greengagedrum::relay
