// The result reported to the caller of a request that got no complete answer.
//
// Every request ends with exactly one of a complete answer or a verdict. A
// verdict says whether the request may have run. `not_run` guarantees that no
// part of the request was sent to any upstream.
#pragma once

#include <greengagedrum/base/time.hpp>

#include <cstdint>
#include <optional>
#include <string_view>

namespace greengagedrum::base
{

enum class run_state : std::uint8_t { not_run, may_have_run };

// Why a request ended without an answer.
enum class reason : std::uint8_t {
    none,
    bad_request,      // invalid request; nothing was attempted
    not_configured,   // no complete configuration is in force yet
    overloaded,       // rejected at admission because of load
    limit_reached,    // a limit of the workspace or kind was reached
    deadline,         // the deadline has passed or can't be met
    no_upstream,      // no upstream of the class accepts requests
    upstream_failed,  // crashed, refused or interrupted its stream
    upstream_silent,  // no progress within the progress timeout
    quarantined,      // upstreams crashed while running this request
    stopping,         // this instance is shutting down
    ticket_home_gone, // the ticket's home process no longer exists
    ticket_home_away, // the ticket's home is unreachable
    key_home_away,    // the key's home is unreachable or uncertain
    key_holder_gone,  // the process that holds the key is gone
    key_too_old,      // the key may predate the records of its home
    already_claimed,  // used before, and the answer was dropped
    key_conflict,     // the key was used with another request body
    answer_dropped,   // the stored answer exceeded its size bounds
    internal,         // a bounded ring or table was full
    // It is unknown which version of an upstream began the resumed stream.
    stream_version_unknown,
};

struct verdict {
    run_state run = run_state::not_run;
    reason why = reason::none;
    std::optional<duration> retry_after; // suggested retry delay
};

std::string_view to_string(run_state value);
std::string_view to_string(reason value);

inline verdict not_run(reason why, std::optional<duration> retry = {})
{
    return verdict{run_state::not_run, why, retry};
}

inline verdict may_have_run(reason why)
{
    return verdict{run_state::may_have_run, why, std::nullopt};
}

} // namespace greengagedrum::base
