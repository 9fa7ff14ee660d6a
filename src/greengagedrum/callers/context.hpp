// What every caller's thread shares with the rest of the daemon.
#pragma once

#include <greengagedrum/callers/inbox.hpp>
#include <greengagedrum/callers/snapshot_holder.hpp>
#include <greengagedrum/callers/upstream_failures.hpp>
#include <greengagedrum/idempotency/ticket_codec.hpp>
#include <greengagedrum/telemetry/collector.hpp>
#include <greengagedrum/upstreams/connection_pool.hpp>
#include <greengagedrum/upstreams/directory.hpp>

#include <atomic>
#include <cstdint>

namespace greengagedrum::callers
{

struct context {
    inbox& events;
    upstreams::connection_pool& pool;
    upstreams::directory& directory;
    snapshot_holder& config;
    std::atomic<bool>& stopping;
    const idempotency::ticket_codec& tickets;
    telemetry::collector& telemetry;
    upstream_failures failures{};
    std::atomic<std::uint64_t> next_request{1};
};

} // namespace greengagedrum::callers
