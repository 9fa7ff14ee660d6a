// What a load consists of: who asks, how often, and how callers come back.
#pragma once

#include <greengagedrum/base/repetition.hpp>
#include <greengagedrum/base/tier.hpp>
#include <load/length_distribution.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace load
{

// By what a caller names its request when it comes back with it.
enum class identity : std::uint8_t {
    key,    // its own Idempotency-Key (a UUIDv7)
    ticket, // one taken from POST /v1/tickets before
    none,   // the Ticket header of the first response, if it came
};

enum class entry_choice : std::uint8_t { round_robin, random };

// One sort of requests. `tier` and `repetition` restate what the workspace's
// template says of the kind, so that the tool can judge by them; they are not
// sent.
struct traffic_class {
    std::string workspace;
    std::string kind;
    std::string token; // bearer token of the workspace
    greengagedrum::base::tier tier = greengagedrum::base::tier::standard;
    greengagedrum::base::repetition repetition =
        greengagedrum::base::repetition::idempotent;
    bool service = false; // a plain service: answers its own JSON
    bool stream = true;   // ask for server-sent events
    identity names_by = identity::key;
    double weight = 1; // its share of the rate
    std::chrono::milliseconds deadline{10'000};
    length_distribution prompt_bytes;
    length_distribution max_tokens{
        length_distribution::shape::lognormal, 4, 400, 0, 0, 1};
    std::uint32_t prefixes = 16; // distinct beginnings among its prompts
    std::string prompt_part;     // text that all its prompts have after them
};

// The rate of one tier (or of all) is multiplied by `factor` for a while.
struct burst {
    std::chrono::milliseconds at{0};
    std::chrono::milliseconds length{0};
    double factor = 1;
    std::optional<greengagedrum::base::tier> only;
};

// How callers come back. Waits and tries are bounded by the deadline as well.
struct retry_settings {
    int max_tries = 4;
    // Come back with the same key or ticket after `may_have_run` or a lost
    // connection also for kinds that may run at most once.
    bool uncertain_at_most_once = true;
    std::chrono::milliseconds wait{100}; // where no Retry-After says other
};

// A whole load: bounded in count and time by construction (see `limits`).
struct plan {
    std::uint64_t seed = 1;
    std::chrono::milliseconds length{10'000}; // of the arrivals
    double rate = 50;                         // requests a second, all classes
    std::size_t max_requests = 100'000;
    std::size_t threads = 256;
    entry_choice choice = entry_choice::round_robin;
    std::vector<traffic_class> classes;
    std::vector<burst> bursts;
    retry_settings retries;
    std::chrono::milliseconds grace{2'000}; // waited beyond the deadline
    bool lost_is_broken = false; // no verdict at all breaks the run as well
};

// Hard caps; `problems` refuses what is beyond them.
namespace limits
{
inline constexpr std::size_t requests = 1'000'000;
inline constexpr std::size_t threads = 600;
inline constexpr double rate = 20'000;
inline constexpr double peak_rate = 200'000;
inline constexpr int tries = 20;
inline constexpr std::chrono::milliseconds length = std::chrono::hours(1);
inline constexpr std::chrono::milliseconds deadline = std::chrono::minutes(10);
} // namespace limits

// What is wrong with the plan, one line each; empty when it can be run.
std::vector<std::string> problems(const plan& planned);

} // namespace load
