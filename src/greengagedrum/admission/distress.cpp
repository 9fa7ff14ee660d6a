#include <greengagedrum/admission/distress.hpp>

#include <algorithm>

namespace greengagedrum::admission
{

void distress::mark(base::upstream_id upstream,
                    base::tier tier,
                    base::instant now)
{
    const auto [own, fresh] = this->upstreams.try_emplace(upstream);
    if (fresh)
        own->second.fill(now);
    own->second[base::index_of(tier)] = now + this->hold;
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
    const ends& own = found->second;
    return std::any_of(own.begin(),
                       own.begin() +
                           static_cast<std::ptrdiff_t>(base::index_of(tier)),
                       [now](base::instant end) { return end > now; });
}

std::optional<base::instant> distress::next_end(base::instant now) const
{
    std::optional<base::instant> out;
    for (const auto& [upstream, own] : this->upstreams)
        for (const base::instant end : own)
            if (end > now && (!out || end < *out))
                out = end;
    return out;
}

} // namespace greengagedrum::admission
