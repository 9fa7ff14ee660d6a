// What the stand-ins of the upstreams say they ran, against what callers saw.
#pragma once

#include <load/outcome.hpp>

#include <tl/expected.hpp>

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace load
{

// One run on one upstream.
struct ledger_run {
    std::string upstream; // its address
    std::string stream;
    std::string tag;
    std::string state;
    std::uint64_t prefill_tokens = 0;
    std::uint64_t wasted_prefill = 0; // tokens
};

// The body of GET /ledger; an error says what is wrong with it.
tl::expected<std::vector<ledger_run>, std::string>
parse_ledger(std::string_view upstream, std::string_view body);

// What the ledgers show of one load's requests.
struct audit {
    std::uint64_t duplicates = 0;    // at_most_once, run more than once
    std::uint64_t repeated = 0;      // idempotent, run more than once
    std::uint64_t false_not_run = 0; // every try not_run, yet it ran
    std::uint64_t without_run = 0;   // answered; its upstream may have died
    std::uint64_t prefill_tokens = 0;
    std::uint64_t wasted_prefill = 0;  // see compare_ledgers
    std::vector<std::string> examples; // of what broke a promise
};

// Runs of other loads (unknown tags) are left out. A stream that moved to
// another upstream by its KV cache (state `exported` or `moved`) goes on there
// and is not a run of its own.
//
// Wasted prefill, in tokens: what the ledgers call wasted of cancelled runs,
// and all of a run whose answer was of no use: its request got no correct
// answer, or got it from another run.
audit compare_ledgers(std::span<const outcome> outcomes,
                      std::span<const ledger_run> runs);

} // namespace load
