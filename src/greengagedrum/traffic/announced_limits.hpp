// Rate limits that upstreams announce in their responses: the requests a second
// that an upstream accepts from all entries together, until one of its
// responses no longer announces a limit.
//
// Every entry tells the others what it has read in responses. Only the entries
// of the upstream's own data centre that dispatch requests send to it, each
// with a fixed part of the limit. No more entries get a part than the limit has
// room for, since each may exceed its rate by a request. What an entry does not
// use of its part it may give to others, a request at a time (limit_permits).
#pragma once

#include <greengagedrum/base/ids.hpp>
#include <greengagedrum/base/time.hpp>
#include <greengagedrum/traffic/limit_grant.hpp>
#include <greengagedrum/traffic/slow_start.hpp>

#include <cstdint>
#include <span>
#include <unordered_map>
#include <vector>

namespace greengagedrum::traffic
{

// What a response of an upstream announced, as one entry tells it to another.
struct announced_limit {
    base::upstream_id upstream;
    double per_second = 0; // requests; 0: the response announced no limit
    base::duration age{0}; // since the response arrived
};

// Who has read the response.
enum class limit_source : std::uint8_t {
    own_group, // this entry or a member for which it dispatches
    peer,
};

class announced_limits
{
public:
    void set_share(const slow_start_share& share) { this->share = share; }

    // Returns true if this changed the limit of the upstream. The newest
    // response counts.
    bool
    record(const announced_limit& what, limit_source source, base::instant now);

    // Requests a second; 0: none is known.
    double limit_of(base::upstream_id upstream, base::instant now) const;

    // Number of requests that this entry may send now to an upstream of its own
    // data centre that has a limit.
    std::uint32_t allowance(base::upstream_id upstream,
                            base::instant now) const;
    void on_sent(base::upstream_id upstream, base::instant now);

    // Counts up to that many requests as sent by this entry and returns a
    // permit for another entry to send them.
    limit_permit give(base::upstream_id upstream,
                      std::uint32_t requests_most,
                      base::instant now);
    // What this entry is asked to give of a need that it and all others with a
    // part received by the same message.
    std::uint32_t requested_part(std::uint32_t need,
                                 std::uint64_t need_number) const;

    // What the own group has read recently. Reports of peers are not passed on:
    // a limit that has ended would be renewed from entry to entry.
    std::vector<announced_limit> recent(base::instant now) const;

    // Number of upstreams with a limit.
    std::size_t count(base::instant now) const;

private:
    struct record_of_upstream {
        double per_second = 0;
        base::instant announced_at;
        limit_source source = limit_source::peer;
        base::instant next_send_at; // of this entry
    };

    const record_of_upstream* find_limited(base::upstream_id upstream,
                                           base::instant now) const;
    // Requests a second that this entry may send.
    double own_rate(base::upstream_id upstream, double per_second) const;
    double sharers_of(double per_second) const;
    base::duration permit_lifetime(double per_second) const;
    void remove_expired(base::instant now);

    slow_start_share share{0, 1};
    std::unordered_map<base::upstream_id, record_of_upstream> records;
};

} // namespace greengagedrum::traffic
