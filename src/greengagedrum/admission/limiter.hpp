// Limits of a workspace's kind: requests at once and tokens a second.
//
// A limit holds a request back; it never ends one. It counts a request from
// the moment it leaves the hold until its end, whatever it does in between,
// so that a retry is not counted twice. The figures set here are this
// instance's shares of the workspace's limits.
#pragma once

#include <greengagedrum/base/ids.hpp>
#include <greengagedrum/base/request_spec.hpp>

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>

namespace greengagedrum::admission
{

struct limit_key {
    base::workspace_id workspace;
    base::kind_id kind;
    auto operator<=>(const limit_key&) const = default;
};

inline limit_key limit_key_of(const base::request_spec& item)
{
    return limit_key{item.workspace, item.kind};
}

// Zero means without bound.
struct limit {
    std::uint32_t max_in_flight = 0;
    double tokens_per_second = 0;
};

class limiter
{
public:
    // Kinds that `limits` lacks are without bound.
    void set_limits(const std::map<limit_key, limit>& limits);

    // True when it may go on; it then counts until `release`. True for good
    // for one that was let through before.
    bool try_acquire(base::request_id request,
                     const base::request_spec& item,
                     base::instant now);

    void release(base::request_id request);

    // Until the bucket of tokens lets one through, if that is what holds the
    // kind back; none when only an end of a request can.
    std::optional<base::duration> refill(const limit_key& key,
                                         base::instant now) const;

    // True when it was let through and has not ended.
    bool is_counted(base::request_id request) const
    {
        return this->acquired.contains(request);
    }

    // Tokens of all that was let through, since the start.
    std::uint64_t spent(const limit_key& key) const;

    std::uint32_t in_flight(const limit_key& key) const;
    const limit* find(const limit_key& key) const; // null: without bound

private:
    struct bucket {
        limit configured;
        double level = 0; // tokens; below zero: owed
        base::instant refilled_at;
    };

    static double level_at(const bucket& state, base::instant now);

    std::map<limit_key, bucket> buckets;
    std::map<limit_key, std::uint32_t> in_flight_by_key;
    std::map<limit_key, std::uint64_t> spent_tokens;
    std::unordered_map<base::request_id, limit_key> acquired;
};

} // namespace greengagedrum::admission
