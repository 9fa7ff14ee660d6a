#include <greengagedrum/placement/affinity.hpp>
#include <greengagedrum/placement/seconds.hpp>

#include <algorithm>

namespace greengagedrum::placement
{

namespace
{

constexpr std::size_t prefixes_max = 32'768;
constexpr base::duration horizon = std::chrono::minutes(10);
constexpr double gapped_trust = 0.5;
constexpr double first_cached = 256; // tokens that a prefix hash covers
constexpr double learning = 0.25;

} // namespace

void affinity::changed(const cache_event& event, base::instant now)
{
    source& from = this->sources[event.upstream];
    if (event.sequence <= from.sequence)
        from.restarted_at = now;
    else if (from.sequence != 0 && event.sequence != from.sequence + 1)
        from.gap_at = now;
    from.sequence = event.sequence;
    if (event.stored)
        return this->stored(event.prefix_hash, event.upstream, now);
    this->drop(event.prefix_hash, event.upstream);
}

void affinity::stored(std::uint64_t prefix,
                      base::upstream_id upstream,
                      base::instant now)
{
    if (prefix == 0)
        return;
    const auto [place, fresh] = this->prefixes.try_emplace(prefix);
    if (fresh) {
        place->second.cached_tokens = first_cached;
        this->order.push_back(prefix);
    }
    place->second.again = !fresh;
    auto& holders = place->second.holders;
    auto slot = std::find_if(holders.begin(), holders.end(), [&](auto& one) {
        return one.upstream == upstream;
    });
    if (slot == holders.end())
        slot = std::min_element(
            holders.begin(), holders.end(), [](auto& left, auto& right) {
                return left.at < right.at;
            });
    *slot = hint{upstream, now};
    if (this->order.size() > prefixes_max)
        this->forget_oldest();
}

// Most prefixes come once; one that came again gets a second round, so that
// they don't push it out.
void affinity::forget_oldest()
{
    constexpr int rounds_max = 8;
    for (int round = 0; round < rounds_max; ++round) {
        const std::uint64_t oldest = this->order.front();
        const auto found = this->prefixes.find(oldest);
        if (!found->second.again)
            break;
        found->second.again = false;
        this->order.pop_front();
        this->order.push_back(oldest);
    }
    this->prefixes.erase(this->order.front());
    this->order.pop_front();
}

void affinity::drop(std::uint64_t prefix, base::upstream_id upstream)
{
    const auto found = this->prefixes.find(prefix);
    if (found == this->prefixes.end())
        return;
    for (hint& one : found->second.holders) {
        if (one.upstream == upstream)
            one = hint{};
    }
}

void affinity::found(std::uint64_t prefix, std::uint32_t cached_tokens)
{
    const auto place = this->prefixes.find(prefix);
    if (place == this->prefixes.end())
        return;
    double& usual = place->second.cached_tokens;
    usual += learning * (cached_tokens - usual);
}

double affinity::trust(const hint& one, base::instant now) const
{
    double trust = freshness(one.at, now, horizon);
    const auto found = this->sources.find(one.upstream);
    if (found == this->sources.end())
        return trust;
    const source& from = found->second;
    if (one.at < from.restarted_at)
        return 0;
    return one.at < from.gap_at ? trust * gapped_trust : trust;
}

bool affinity::find(std::uint64_t prefix, base::instant now, credits& out) const
{
    const auto found = this->prefixes.find(prefix);
    if (found == this->prefixes.end())
        return false;
    std::size_t count = 0;
    for (const hint& one : found->second.holders) {
        if (one.upstream.empty())
            continue;
        out.at(count++) = credit{
            one.upstream, this->trust(one, now) * found->second.cached_tokens};
    }
    return count > 0;
}

} // namespace greengagedrum::placement
