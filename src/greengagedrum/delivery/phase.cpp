#include <greengagedrum/delivery/phase.hpp>

#include <array>

namespace greengagedrum::delivery
{

namespace
{

constexpr std::uint8_t bit(phase value)
{
    return static_cast<std::uint8_t>(1U << static_cast<unsigned>(value));
}

constexpr std::uint8_t set_of(std::initializer_list<phase> phases)
{
    std::uint8_t bits = 0;
    for (const phase value : phases)
        bits = static_cast<std::uint8_t>(bits | bit(value));
    return bits;
}

// Allowed transitions: the index is the phase left, the bits are the phases
// that may follow. Each comment gives the events in the order of the bits.
constexpr std::array<std::uint8_t, phase_count> transitions = {
    // claiming: granted; runs at another entry; refused, caller gone or timeout
    set_of({phase::queued, phase::attached, phase::ended}),
    // attached: the other entry never ran it; answered or failed there
    set_of({phase::claiming, phase::ended}),
    // queued: slot found; the lease of its grant expired; shed, timeout or
    // caller gone
    set_of({phase::dispatched, phase::claiming, phase::ended}),
    // dispatched: connect refused, nothing written; connection lost; failed
    // and idempotent; answered or failed
    set_of({phase::queued, phase::resuming, phase::backing_off, phase::ended}),
    // resuming: stream resumed; failed and idempotent; failed
    set_of({phase::dispatched, phase::backing_off, phase::ended}),
    // backing_off: next dispatch; ended before that
    set_of({phase::queued, phase::ended}),
    // ended: final
    set_of({}),
};

constexpr std::array<std::string_view, phase_count> names = {"claiming",
                                                             "attached",
                                                             "queued",
                                                             "dispatched",
                                                             "resuming",
                                                             "waiting",
                                                             "ended"};

} // namespace

bool is_transition_allowed(phase from, phase to)
{
    return (transitions[static_cast<std::size_t>(from)] & bit(to)) != 0;
}

std::string_view to_string(phase value)
{
    return names[static_cast<std::size_t>(value)];
}

} // namespace greengagedrum::delivery
