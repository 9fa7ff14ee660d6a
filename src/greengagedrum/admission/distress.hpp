// Records the tiers in distress at each upstream: tiers whose requests are
// about to be shed, or were shed recently.
//
// When a higher tier demands more than the capacity, some of its requests must
// be shed, but none may be shed while lower tiers run. Floor grants and short
// gaps in the queue of the higher tier would keep starting requests of lower
// tiers. So while a tier is in distress at an upstream, no lower tier starts
// there; once the running lower-tier requests have finished, the requests that
// cannot be served are shed.
#pragma once

#include <greengagedrum/base/ids.hpp>
#include <greengagedrum/base/tier.hpp>
#include <greengagedrum/base/time.hpp>

#include <array>
#include <map>
#include <optional>

namespace greengagedrum::admission
{

class distress
{
public:
    // `mark_lifetime`: how long one sign of distress counts.
    explicit distress(base::duration mark_lifetime)
        : mark_lifetime(mark_lifetime)
    {
    }

    void mark(base::upstream_id upstream, base::tier tier, base::instant now);

    // True when `tier` itself is in distress at the upstream.
    bool is_marked(base::upstream_id upstream,
                   base::tier tier,
                   base::instant now) const;

    // True when a tier above `tier` is in distress at the upstream.
    bool is_higher_tier_marked(base::upstream_id upstream,
                               base::tier tier,
                               base::instant now) const;

    // When the next mark expires; none when no mark is set.
    std::optional<base::instant> next_expiry(base::instant now) const;

private:
    using mark_expiries = std::array<base::instant, base::tier_count>;

    base::duration mark_lifetime;
    std::map<base::upstream_id, mark_expiries> upstreams;
};

} // namespace greengagedrum::admission
