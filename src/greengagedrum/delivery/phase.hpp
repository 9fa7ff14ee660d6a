// The life of one request as a table of allowed transitions.
//
//   claiming --> queued --> dispatched --> ended
//      |  \        ^  ^        |   ^
//      |   \       |  |        v   |
//      |    +--> attached    resuming
//      |           |           |
//      +--> ended <+--- waiting (backoff before an idempotent retry)
//
// `run_of` says what may be told to a caller in each phase. The step from
// not_run to may_have_run is the one into `dispatched`, taken before the first
// byte is written to an upstream.
#pragma once

#include <cstdint>
#include <string_view>

namespace greengagedrum::delivery
{

enum class phase : std::uint8_t {
    claiming,    // asked the home of its ticket or key
    attached,    // another entry holds it: waits for that answer
    queued,      // waits for an upstream
    dispatched,  // handed to an upstream, its stream is being read
    resuming,    // lost its connection, waits to read the stream on
    backing_off, // idempotent, failed once, backs off before its next dispatch
    ended        // answered, or told its verdict
};

inline constexpr int phase_count = 7;

// True when the life may go from `from` to `to`.
bool is_transition_allowed(phase from, phase to);

// True while an upstream has the request.
constexpr bool is_running(phase value)
{
    return value == phase::dispatched || value == phase::resuming;
}

std::string_view to_string(phase value);

} // namespace greengagedrum::delivery
