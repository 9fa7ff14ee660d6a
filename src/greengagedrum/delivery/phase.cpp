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

// Row: from; bits: where it may go.
constexpr std::array<std::uint8_t, phase_count> transitions = {
    // claiming: granted; held elsewhere; refused, gone or out of time
    set_of({phase::queued, phase::attached, phase::ended}),
    // attached: the holder never ran it; answered or failed there
    set_of({phase::claiming, phase::ended}),
    // queued: chosen; its grant grew older than the lease; shed, out of time
    // or its caller gone
    set_of({phase::dispatched, phase::claiming, phase::ended}),
    // dispatched: refused connect (nothing written); lost its connection;
    // failed and idempotent; whole, or given up
    set_of({phase::queued, phase::resuming, phase::backing_off, phase::ended}),
    // resuming: reading again; failed and idempotent; given up
    set_of({phase::dispatched, phase::backing_off, phase::ended}),
    // waiting: next try; no budget or no time left
    set_of({phase::queued, phase::ended}),
    // ended: for good
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
