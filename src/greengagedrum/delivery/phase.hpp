// The phases of a request and the allowed transitions between them.
//
//   claiming --> queued --> dispatched --> ended
//      |  \        ^  ^        |   ^
//      |   \       |  |        v   |
//      |    +--> attached    resuming
//      |           |           |
//      +--> ended <+--- backing_off (before the next dispatch)
//
// A request may have run from the transition to `dispatched` on, which is made
// before the first byte is written to an upstream, unless the connect is
// refused.
#pragma once

#include <cstdint>
#include <string_view>

namespace greengagedrum::delivery
{

enum class phase : std::uint8_t {
    claiming,    // asked the home of its ticket or key for a grant
    attached,    // another entry runs it; waits for that answer
    queued,      // waits for a slot of an upstream
    dispatched,  // sent to an upstream, its stream is being read
    resuming,    // lost its connection, waits to resume the stream
    backing_off, // connect refused or failed; waits before it is queued again
    ended        // answered, or ended with a verdict
};

inline constexpr int phase_count = 7;

// True when a request may go from phase `from` to phase `to`.
bool is_transition_allowed(phase from, phase to);

// True while the request is at an upstream.
constexpr bool is_running(phase value)
{
    return value == phase::dispatched || value == phase::resuming;
}

std::string_view to_string(phase value);

} // namespace greengagedrum::delivery
