// Kept connections to upstreams.
//
// Failure guarded against: a kept connection that idled may be dead without
// showing it; a request written to it is lost, and for work dispatched at most
// once that is an answer lost. So a connection is taken again only within
// `idle_max` of its last use; an older one is closed.
#pragma once

#include <httplib.h>

#include <chrono>
#include <cstddef>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

namespace greengagedrum::upstreams
{

inline constexpr int status_ok = 200;

struct pool_options {
    std::chrono::milliseconds connect_timeout{500};
    std::chrono::milliseconds read_timeout{60'000};
    std::chrono::milliseconds idle_max{500};
    std::size_t kept_max = 64; // idle connections an upstream
};

class connection_pool
{
public:
    explicit connection_pool(const pool_options& options) : options(options) {}

    // A connection that idled for less than `idle_max`, or a new one, not yet
    // connected.
    std::unique_ptr<httplib::Client> take(const std::string& address);

    // A new one, not yet connected.
    std::unique_ptr<httplib::Client> fresh(const std::string& address) const;

    // Gives back a connection whose last exchange ended whole.
    void give_back(const std::string& address,
                   std::unique_ptr<httplib::Client> client);

private:
    using clock = std::chrono::steady_clock;
    struct idle_client {
        std::unique_ptr<httplib::Client> client;
        clock::time_point since;
    };

    pool_options options;
    std::mutex mutex;
    std::unordered_map<std::string, std::vector<idle_client>> idle;
};

} // namespace greengagedrum::upstreams
