// Upstreams whose higher tiers are about to be shed, or were just now.
//
// Failure guarded against: a higher tier asks for more than there is. Some of
// it must be shed, and none may be while lower work runs; yet the floor and
// every short gap in the line start lower work anew. While a tier is in
// distress at an upstream, nothing lower starts there; what runs drains away,
// and then the truth may be told to those that can't be served.
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
    // `hold`: how long one sign of it counts.
    explicit distress(base::duration mark_lifetime)
        : mark_lifetime(mark_lifetime)
    {
    }

    void mark(base::upstream_id upstream, base::tier tier, base::instant now);

    // True when this very tier is in distress there.
    bool is_marked(base::upstream_id upstream,
                   base::tier tier,
                   base::instant now) const;

    // True when a tier above `tier` is in distress there.
    bool is_higher_tier_marked(base::upstream_id upstream,
                               base::tier tier,
                               base::instant now) const;

    // When the next of them ends.
    std::optional<base::instant> next_expiry(base::instant now) const;

private:
    using mark_expiries = std::array<base::instant, base::tier_count>;

    base::duration mark_lifetime;
    std::map<base::upstream_id, mark_expiries> upstreams;
};

} // namespace greengagedrum::admission
