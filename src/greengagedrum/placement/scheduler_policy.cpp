#include <greengagedrum/placement/mix.hpp>
#include <greengagedrum/placement/policies.hpp>

#include <algorithm>
#include <limits>

namespace greengagedrum::placement
{

namespace
{

// Candidates within this much of the best count as equal: estimates are no
// better than that, and instances that see one report must not all pick the
// one it favours.
constexpr double tie_share = 0.15;
constexpr double tie_least = 0.005; // seconds

// A shorter prompt is not worth keeping together with its like.
constexpr std::uint32_t affine_prompt = 128; // tokens

bool is_in(std::span<const base::upstream_id> list, base::upstream_id id)
{
    return std::find(list.begin(), list.end(), id) != list.end();
}

double cached_there(const affinity::credits* credits, base::upstream_id id)
{
    if (credits == nullptr)
        return 0;
    for (const affinity::credit& one : *credits) {
        if (one.upstream.empty())
            return 0;
        if (one.upstream == id)
            return one.tokens;
    }
    return 0;
}

} // namespace

// A probe that is due goes before all else; then sound candidates; those to
// avoid only when the rest is full; suspects only when there is nothing but
// suspects, with or without room: a place on a sound one comes sooner than an
// answer from a straggler.
std::optional<selection> scheduler_policy::choose(const question& asked)
{
    this->probe.reset();
    bool sound = this->score(asked, false, false);
    if (this->probe)
        return this->probe;
    if (!sound)
        this->score(asked, true, false);
    if (this->scores.empty() && !asked.avoid.empty())
        this->score(asked, !sound, true);
    if (this->scores.empty())
        return std::nullopt;
    return this->pick(asked);
}

// Scores those with room. True when some candidate is sound, also without
// room; notes a suspect for which this request may be the probe.
bool scheduler_policy::score(const question& asked, bool suspects, bool avoided)
{
    this->scores.clear();
    this->best = std::numeric_limits<double>::max();
    const bool urgent = asked.item.tier <= base::tier::interactive;
    const double prompt = asked.item.prompt_tokens;
    bool sound = false;
    for (const std::uint32_t index : asked.candidates) {
        const upstream_state& state = asked.upstreams[index];
        const bool suspect = state.suspected(asked.now);
        sound = sound || !suspect;
        if (state.in_flight >= state.allowance)
            continue;
        if (!asked.avoid.empty() && is_in(asked.avoid, state.id) != avoided)
            continue;
        if (suspect && !suspects) {
            this->note_probe(asked, index);
            continue;
        }
        const double cached = cached_there(asked.cached, state.id);
        const time_estimate times = state.estimate(
            std::max(1.0, prompt - cached), asked.output, asked.now);
        const double objective =
            urgent ? times.first_token + times.finish : times.finish;
        this->best = std::min(this->best, objective);
        this->scores.push_back({index, times, objective});
    }
    return sound;
}

void scheduler_policy::note_probe(const question& asked, std::uint32_t index)
{
    const upstream_state& state = asked.upstreams[index];
    if (this->probe || !state.watch.suspected(asked.now) ||
        !state.watch.may_probe(asked.item, asked.now))
        return;
    const double prompt = asked.item.prompt_tokens;
    this->probe =
        selection{index, state.estimate(prompt, asked.output, asked.now)};
}

// Among near-equals, a prompt with a prefix goes where its like goes (the same
// order of upstreams at every instance), so that a prefix gets a second home
// only once the first is behind the others by more than the cache saves. Any
// other goes by the salt, which differs between instances.
selection scheduler_policy::pick(const question& asked) const
{
    const double limit =
        this->best + std::max(tie_least, tie_share * this->best);
    const bool affine = asked.item.prefix_hash != 0 &&
                        asked.item.prompt_tokens >= affine_prompt;
    const std::uint64_t key = affine ? asked.item.prefix_hash : asked.salt;
    const scored* chosen = nullptr;
    std::uint64_t highest = 0;
    for (const scored& one : this->scores) {
        if (one.objective > limit)
            continue;
        const std::uint64_t rank =
            mix(key, asked.upstreams[one.index].id.value);
        if (chosen != nullptr && rank <= highest)
            continue;
        chosen = &one;
        highest = rank;
    }
    return {chosen->index, chosen->estimate};
}

} // namespace greengagedrum::placement
