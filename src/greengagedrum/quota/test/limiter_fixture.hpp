// Two limiters that hear each other, and one limited workspace.
#pragma once

#include <greengagedrum/quota/usage_limiter.hpp>

#include <vector>

namespace greengagedrum::quota
{

// A burst of many seconds' rate: the window is full before the bucket is empty.
inline constexpr double rate = 10;
inline constexpr double burst = 820;
inline constexpr double window_seconds = 8;

inline const base::workspace_id planning("planning");

struct limiter_fixture {
    base::instant now{std::chrono::hours(1)};
    usage_limiter own{base::instant(std::chrono::minutes(59))};
    usage_limiter peer{base::instant(std::chrono::minutes(59))};

    limiter_fixture()
    {
        this->own.set_tolerance({std::chrono::seconds(8), 0, 0});
        this->peer.set_tolerance({std::chrono::seconds(8), 0, 0});
        this->limit_to(rate);
        this->now += std::chrono::minutes(2); // the buckets are full
    }

    void limit_to(double per_second, double burst_size = burst)
    {
        routing::configuration config;
        routing::workspace one;
        one.name = "planning";
        one.id = planning;
        one.limit = {per_second, burst_size, true, 0};
        config.workspaces.push_back(one);
        this->own.set_limits(config, this->now);
        this->peer.set_limits(config, this->now);
    }

    // A limiter of a process that starts now.
    usage_limiter fresh_limiter(const tolerance& tolerated_usage,
                                double per_second = rate,
                                double burst_size = burst) const
    {
        usage_limiter out(this->now);
        out.set_tolerance(tolerated_usage);
        routing::configuration config;
        routing::workspace one;
        one.id = planning;
        one.limit = {per_second, burst_size, true, 0};
        config.workspaces.push_back(one);
        out.set_limits(config, this->now);
        return out;
    }

    bool try_send(usage_limiter& from, double cost)
    {
        if (from.try_acquire(planning, cost, 0, this->now))
            return false;
        from.on_sent(planning, cost, this->now);
        return true;
    }

    void receive_peer_report(const std::vector<workspace_usage>& usage,
                             bool stopping)
    {
        this->own.on_peer_report(base::slot_id("peer"),
                                 base::incarnation{2},
                                 usage,
                                 stopping,
                                 this->now);
    }

    // Each limiter reports its usage to the other.
    void exchange_reports()
    {
        this->own.on_peer_report(base::slot_id("peer"),
                                 base::incarnation{2},
                                 this->peer.own_usage(this->now),
                                 false,
                                 this->now);
        this->peer.on_peer_report(base::slot_id("own"),
                                  base::incarnation{1},
                                  this->own.own_usage(this->now),
                                  false,
                                  this->now);
    }
};

} // namespace greengagedrum::quota
