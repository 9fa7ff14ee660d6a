#include <greengagedrum/admission/distress.hpp>

#include <algorithm>

namespace greengagedrum::admission
{

void distress::mark(base::upstream_id upstream,
                    base::tier tier,
                    base::instant now)
{
    const auto [marks, inserted] = this->upstreams.try_emplace(upstream);
    if (inserted)
        marks->second.fill(now);
    marks->second[base::index_of(tier)] = now + this->mark_lifetime;
}

bool distress::is_marked(base::upstream_id upstream,
                         base::tier tier,
                         base::instant now) const
{
    const auto found = this->upstreams.find(upstream);
    return found != this->upstreams.end() &&
           found->second[base::index_of(tier)] > now;
}

bool distress::is_higher_tier_marked(base::upstream_id upstream,
                                     base::tier tier,
                                     base::instant now) const
{
    const auto found = this->upstreams.find(upstream);
    if (found == this->upstreams.end())
        return false;
    const mark_expiries& marks = found->second;
    return std::any_of(marks.begin(),
                       marks.begin() +
                           static_cast<std::ptrdiff_t>(base::index_of(tier)),
                       [now](base::instant expiry) { return expiry > now; });
}

std::optional<base::instant> distress::next_expiry(base::instant now) const
{
    std::optional<base::instant> out;
    for (const auto& [upstream, marks] : this->upstreams)
        for (const base::instant expiry : marks)
            if (expiry > now && (!out || expiry < *out))
                out = expiry;
    return out;
}

} // namespace greengagedrum::admission
