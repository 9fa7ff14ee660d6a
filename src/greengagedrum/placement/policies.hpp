// The ways to choose among candidates: the scheduler's and the baselines'.
//
// They see candidates that may take the request (listed, model held); room
// and order are part of each way. Each is a state of its own, held in a
// variant.
#pragma once

#include <greengagedrum/base/request_spec.hpp>
#include <greengagedrum/placement/affinity.hpp>
#include <greengagedrum/placement/options.hpp>
#include <greengagedrum/placement/upstream_state.hpp>

#include <optional>
#include <span>
#include <variant>
#include <vector>

namespace greengagedrum::placement
{

// What a policy is asked.
struct question {
    const base::request_spec& item;
    std::span<const std::uint32_t> candidates; // indexes into `upstreams`
    std::span<const upstream_state> upstreams;
    std::span<const base::upstream_id> avoid;  // only when nothing else is left
    const affinity::credits* cached = nullptr; // null: nothing known
    double output = 0;                         // tokens expected
    std::uint64_t salt = 0;                    // differs with each question
    base::instant now;
};

struct selection {
    std::uint32_t index = 0;
    time_estimate estimate;
};

// Least estimated finish; ties and prefixes by rendezvous.
class scheduler_policy
{
public:
    std::optional<selection> choose(const question& asked);

private:
    struct scored {
        std::uint32_t index = 0;
        time_estimate estimate;
        double objective = 0;
    };

    bool score(const question& asked, bool suspects, bool avoided);
    void note_probe(const question& asked, std::uint32_t index);
    selection pick(const question& asked) const;

    // Of the question under way; `scores` is kept for its memory.
    std::vector<scored> scores;
    double best = 0;
    std::optional<selection> probe;
};

class round_robin_policy
{
public:
    std::optional<selection> choose(const question& asked);

private:
    std::uint64_t turn = 0;
};

class least_reported_policy
{
public:
    std::optional<selection> choose(const question& asked);

private:
    std::uint64_t turn = 0;
};

class least_outstanding_policy
{
public:
    std::optional<selection> choose(const question& asked);

private:
    std::uint64_t turn = 0;
};

using policy = std::variant<scheduler_policy,
                            round_robin_policy,
                            least_reported_policy,
                            least_outstanding_policy>;

policy make_policy(policy_choice choice);

} // namespace greengagedrum::placement
