#include <greengagedrum/quarantine/blame.hpp>

#include <algorithm>
#include <map>
#include <set>

namespace greengagedrum::quarantine
{

namespace
{

using upstream_set = std::set<base::upstream_id>;

bool has_enough_crashes(const blame_candidate& candidate)
{
    return candidate.crashes.size() >=
           std::max<std::size_t>(1, candidate.threshold);
}

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

// The other candidates that could explain some of the crashes, if together they
// could explain all of them; else none.
std::vector<std::size_t>
find_alternatives(std::span<const blame_candidate> candidates,
                  std::span<const blame> decided,
                  std::size_t blamed,
                  upstream_set crashes)
{
    std::vector<std::size_t> out;
    const upstream_set all = crashes;
    for (std::size_t at = 0; at < candidates.size(); ++at) {
        const blame_candidate& one = candidates[at];
        if (at == blamed || decided[at] != blame::open ||
            !has_enough_crashes(one))
            continue;
        const bool overlaps =
            std::any_of(one.crashes.begin(),
                        one.crashes.end(),
                        [&](base::upstream_id id) { return all.contains(id); });
        if (!overlaps)
            continue;
        out.push_back(at);
        for (const base::upstream_id id : one.crashes)
            crashes.erase(id);
    }
    if (!crashes.empty())
        out.clear();
    return out;
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
        const std::vector<std::size_t> alternatives =
            find_alternatives(candidates, out, next, crashes);
        out[next] = alternatives.empty() ? blame::sole : blame::ambiguous;
        for (const std::size_t at : alternatives)
            out[at] = blame::ambiguous;
        explained.insert(crashes.begin(), crashes.end());
    }
    for (std::size_t at = 0; at < candidates.size(); ++at) {
        if (out[at] == blame::open && !candidates[at].crashes.empty() &&
            unexplained(candidates[at], explained).empty())
            out[at] = blame::explained;
    }
    return out;
}

std::vector<std::size_t>
count_own_crashes(std::span<const blame_candidate> candidates)
{
    std::map<base::upstream_id, std::size_t> explanations;
    for (const blame_candidate& one : candidates) {
        if (!has_enough_crashes(one))
            continue;
        for (const base::upstream_id id : one.crashes)
            explanations[id] += 1;
    }
    std::vector<std::size_t> out;
    for (const blame_candidate& one : candidates) {
        const std::size_t by_itself = has_enough_crashes(one) ? 1 : 0;
        const auto own = std::count_if(
            one.crashes.begin(), one.crashes.end(), [&](base::upstream_id id) {
                return explanations[id] == by_itself;
            });
        out.push_back(static_cast<std::size_t>(own));
    }
    return out;
}

} // namespace greengagedrum::quarantine
