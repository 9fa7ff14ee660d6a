// What a request that was not answered whole has to tell its caller.
//
// Every request ends in exactly one of: a whole answer, or a verdict that says
// whether the request may have run. `not_run` is a promise: nothing of the
// request was handed to any upstream.
#pragma once

#include <greengagedrum/base/time.hpp>

#include <cstdint>
#include <optional>
#include <string_view>

namespace greengagedrum::base
{

enum class run_state : std::uint8_t { not_run, may_have_run };

// Why a request ended without its answer.
enum class reason : std::uint8_t {
    none,
    bad_request,      // the caller's fault; nothing was tried
    not_configured,   // no complete configuration in force yet
    overloaded,       // shed at admission
    limit_reached,    // a limit of the workspace or kind
    deadline,         // the caller's deadline passed or can't be met
    no_upstream,      // no upstream of the class takes work
    upstream_failed,  // the upstream died, refused or broke its stream
    upstream_silent,  // no progress within the progress deadline
    quarantined,      // upstreams crashed under the same request
    stopping,         // this instance is shutting down
    ticket_home_gone, // the ticket's home process no longer exists
    ticket_home_away, // the ticket's home can't be reached
    key_home_away,    // the key's home can't be reached, or can't be sure
    key_holder_gone,  // whoever holds the key is gone
    key_too_old,      // the key may be older than its home's memory
    already_claimed,  // the ticket or key was used, and its answer is gone
    key_conflict,     // the key was used with another request body
    answer_dropped,   // the kept answer went past its bounds
    internal,         // a bounded ring or table was full
};

struct verdict {
    run_state run = run_state::not_run;
    reason why = reason::none;
    std::optional<duration> retry_after; // when to come back, if it helps
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
