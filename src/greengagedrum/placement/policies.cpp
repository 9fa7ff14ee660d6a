#include <greengagedrum/placement/policies.hpp>

#include <algorithm>

namespace greengagedrum::placement
{

namespace
{

// The candidate with the least cost with room, the next one in turn among
// equals; one to avoid only when there is no other.
template <class Cost>
std::optional<selection>
least(const question& asked, std::uint64_t turn, const Cost& cost)
{
    std::optional<std::uint32_t> best;
    std::uint64_t best_cost = 0;
    const std::size_t size = asked.candidates.size();
    for (std::size_t step = 0; step < size; ++step) {
        const std::uint32_t index = asked.candidates[(turn + step) % size];
        const upstream_state& state = asked.upstreams[index];
        if (state.in_flight >= state.allowance)
            continue;
        const bool avoided =
            std::find(asked.avoid.begin(), asked.avoid.end(), state.entry.id) !=
            asked.avoid.end();
        constexpr std::uint64_t avoided_cost = 1ULL << 40U;
        const std::uint64_t own = cost(state) + (avoided ? avoided_cost : 0);
        if (best && own >= best_cost)
            continue;
        best = index;
        best_cost = own;
    }
    if (!best)
        return std::nullopt;
    return selection{*best,
                     asked.upstreams[*best].estimate(
                         asked.item.prompt_tokens, asked.output, asked.now)};
}

} // namespace

std::optional<selection> round_robin_policy::choose(const question& asked)
{
    return least(asked, this->turn++, [](const upstream_state&) {
        return std::uint64_t{0};
    });
}

std::optional<selection> least_reported_policy::choose(const question& asked)
{
    return least(asked, this->turn++, [](const upstream_state& state) {
        return std::uint64_t{state.reported_load};
    });
}

std::optional<selection> least_outstanding_policy::choose(const question& asked)
{
    return least(asked, this->turn++, [](const upstream_state& state) {
        return std::uint64_t{state.in_flight};
    });
}

policy make_policy(policy_choice choice)
{
    switch (choice) {
    case policy_choice::scheduler:
        return scheduler_policy{};
    case policy_choice::round_robin:
        return round_robin_policy{};
    case policy_choice::least_reported:
        return least_reported_policy{};
    case policy_choice::least_outstanding:
        return least_outstanding_policy{};
    }
    return scheduler_policy{};
}

} // namespace greengagedrum::placement
