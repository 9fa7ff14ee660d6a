#include <greengagedrum/placement/planner.hpp>

namespace greengagedrum::placement
{

std::vector<room> planner::rooms(const base::request_spec& item) const
{
    std::vector<room> out;
    for (const std::uint32_t index : this->candidates_of(item)) {
        const upstream_state& state = this->upstreams[index];
        out.push_back({state.id,
                       state.in_flight,
                       state.allowance,
                       state.entry.max_in_flight});
    }
    return out;
}

std::vector<upstream_view> planner::views(base::instant now) const
{
    std::vector<upstream_view> out;
    for (const upstream_state& state : this->upstreams) {
        if (!state.published || state.entry.data_centre != this->own)
            continue;
        // An overdue first token is silence that is not yet certain.
        suspicion cause = suspicion::none;
        if (state.watch.suspected(now))
            cause = state.watch.why();
        else if (state.suspected(now))
            cause = suspicion::silent;
        out.push_back({state.entry.name,
                       state.listed,
                       state.in_flight,
                       state.allowance,
                       state.foreign.requests(now),
                       cause});
    }
    return out;
}

std::uint32_t planner::allowance(base::upstream_id upstream) const
{
    const upstream_state* state = this->find(upstream);
    return state == nullptr ? 0 : state->allowance;
}

} // namespace greengagedrum::placement
