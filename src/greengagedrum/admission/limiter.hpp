// Enforces the limits of each workspace and kind: requests in flight and tokens
// per second.
//
// A limit delays a request and never ends one. A request counts from the moment
// the limiter admits it until its end, retries included, so that a retry is not
// counted twice. The limits set here are this instance's shares of the
// workspace's limits.
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

// Zero means unlimited.
struct limit {
    std::uint32_t max_in_flight = 0;
    double tokens_per_second = 0;
};

class limiter
{
public:
    // Kinds missing from `limits` are unlimited.
    void set_limits(const std::map<limit_key, limit>& limits);

    // Returns true when the limits admit the request; the request then counts
    // until `release`. A request admitted before is always admitted again.
    bool try_acquire(base::request_id request,
                     const base::request_spec& item,
                     base::instant now);

    void release(base::request_id request);

    // Time until the token bucket admits the next request; none when the bucket
    // is not what holds the kind back, so that only the end of a request can
    // help.
    std::optional<base::duration> refill(const limit_key& key,
                                         base::instant now) const;

    // True when the request was admitted and has not ended.
    bool is_counted(base::request_id request) const
    {
        return this->acquired.contains(request);
    }

    // Tokens of all requests admitted under a limit since the process started.
    std::uint64_t admitted_tokens(const limit_key& key) const;

    std::uint32_t in_flight(const limit_key& key) const;
    const limit* find(const limit_key& key) const; // null: unlimited

private:
    struct bucket {
        limit configured;
        double level = 0; // tokens; a negative level is debt
        base::instant refilled_at;
    };

    static double level_at(const bucket& state, base::instant now);

    std::map<limit_key, bucket> buckets;
    std::map<limit_key, std::uint32_t> in_flight_by_key;
    std::map<limit_key, std::uint64_t> admitted_tokens_by_key;
    std::unordered_map<base::request_id, limit_key> acquired;
};

} // namespace greengagedrum::admission
