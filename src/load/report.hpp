// What a load run found, mergeable over threads and repetitions.
#pragma once

#include <greengagedrum/base/tier.hpp>
#include <load/answer.hpp>
#include <load/latency.hpp>
#include <load/ledger.hpp>
#include <load/outcome.hpp>

#include <nlohmann/json_fwd.hpp>

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace load
{

// Counts and times of one tier's requests.
struct tier_report {
    std::uint64_t offered = 0; // requests sent, each once
    std::uint64_t correct = 0; // answered, whole and own
    std::uint64_t good = 0;    // correct and within the deadline: goodput
    std::uint64_t retries = 0; // tries beyond the first
    std::array<std::uint64_t, ending_count> endings{};
    latency first_token; // of correct streams, from the scheduled arrival
    latency total;       // of correct answers, from the scheduled arrival
    latency between;     // between tokens of correct streams

    void merge(const tier_report& other);
};

// A run's findings. It holds no outcome of a single request but a few examples
// of what broke a promise.
class report
{
public:
    double seconds = 0; // of arrivals, summed over merged runs
    std::array<tier_report, greengagedrum::base::tier_count> tiers;
    audit ledgers;
    std::uint64_t ledgers_read = 0;
    std::uint64_t ledgers_failed = 0; // an upstream that died, say
    std::uint64_t not_whole = 0;
    std::uint64_t not_own = 0;
    std::uint64_t verdict_unclear = 0;
    bool lost_is_broken = false;
    std::map<std::string, std::uint64_t> reasons; // of endings unanswered
    latency lateness; // of sends against the schedule
    std::vector<std::string> examples;

    // `late`: how much after its scheduled time the first try was sent.
    void add(const outcome& ended, std::chrono::microseconds late);
    void add_audit(const audit& found);
    void merge(const report& other);

    std::uint64_t offered() const;
    std::uint64_t ended(ending how) const;
    std::uint64_t retries() const;

    // The number of broken promises; 0 is a run that kept them all.
    std::uint64_t broken() const;

    // Good answers a second, and as a part of those offered (1 when none).
    double goodput(greengagedrum::base::tier level) const;
    double good_part(greengagedrum::base::tier level) const;

    // Wasted prefill as a part of all prefill tokens; 0 when there are none.
    double wasted_part() const;

private:
    void count_fault(fault found, const std::string& tag);
};

nlohmann::json to_json(const report& found);

// A table for people, with a line for each broken promise.
std::string to_text(const report& found);

} // namespace load
