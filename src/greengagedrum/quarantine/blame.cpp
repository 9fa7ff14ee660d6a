#include <greengagedrum/quarantine/blame.hpp>

#include <algorithm>
#include <set>

namespace greengagedrum::quarantine
{

namespace
{

using upstream_set = std::set<base::upstream_id>;

upstream_set unexplained(const blame_candidate& candidate,
                         const upstream_set& explained)
{
    upstream_set out;
    for (const base::upstream_id one : candidate.crashes) {
        if (!explained.contains(one))
            out.insert(one);
    }
    return out;
}

// The undecided candidate with the most crashes that are not explained yet; of
// several, the one with the most crashes in all.
std::size_t select_next(std::span<const blame_candidate> candidates,
                        std::span<const blame> decided,
                        const upstream_set& explained)
{
    std::size_t best = candidates.size();
    std::pair<std::size_t, std::size_t> most{0, 0};
    for (std::size_t at = 0; at < candidates.size(); ++at) {
        if (decided[at] != blame::open)
            continue;
        const blame_candidate& one = candidates[at];
        const std::size_t left = unexplained(one, explained).size();
        if (left < std::max<std::size_t>(1, one.threshold))
            continue;
        const std::pair rank{left, one.crashes.size()};
        if (rank > most) {
            most = rank;
            best = at;
        }
    }
    return best;
}

} // namespace

std::vector<blame> assign_blame(std::span<const blame_candidate> candidates)
{
    std::vector<blame> out(candidates.size(), blame::open);
    upstream_set explained;
    while (true) {
        const std::size_t next = select_next(candidates, out, explained);
        if (next == candidates.size())
            break;
        const upstream_set crashes = unexplained(candidates[next], explained);
        out[next] = blame::sole;
        for (std::size_t at = 0; at < candidates.size(); ++at) {
            if (out[at] != blame::open ||
                candidates[at].crashes.size() < candidates[at].threshold ||
                candidates[at].crashes.size() !=
                    candidates[next].crashes.size() ||
                unexplained(candidates[at], explained) != crashes)
                continue;
            out[at] = blame::ambiguous;
            out[next] = blame::ambiguous;
        }
        explained.insert(crashes.begin(), crashes.end());
    }
    for (std::size_t at = 0; at < candidates.size(); ++at) {
        if (out[at] == blame::open && !candidates[at].crashes.empty() &&
            unexplained(candidates[at], explained).empty())
            out[at] = blame::explained;
    }
    return out;
}

} // namespace greengagedrum::quarantine
