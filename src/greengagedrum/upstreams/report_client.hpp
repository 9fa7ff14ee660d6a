// Asks one engine for its load and cache events, over one kept connection.
//
// Each call ends within its time-outs; every failure looks alike: none. Used
// by one thread at a time.
#pragma once

#include <greengagedrum/placement/messages.hpp>

#include <httplib.h>

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace greengagedrum::upstreams
{

class report_client
{
public:
    report_client(const std::string& name,
                  const std::string& address,
                  std::chrono::milliseconds timeout);

    // Its age includes the time of the exchange.
    std::optional<placement::load_report> load();

    // Those after the last ones seen. A call that failed starts over, as the
    // engine may be a new process that numbers anew.
    std::vector<placement::cache_event> cache_events();

private:
    std::optional<std::string> get(const std::string& path);
    std::optional<std::string> try_get(const std::string& path);

    std::string host; // "IP:port"
    base::upstream_id upstream;
    std::chrono::milliseconds timeout;
    std::unique_ptr<httplib::Client> client;
    std::uint64_t since = 0;
};

} // namespace greengagedrum::upstreams
