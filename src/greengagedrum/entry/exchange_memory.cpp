// The part of an exchange that keeps its response within the memory of the
// process.
#include <greengagedrum/entry/exchange.hpp>

namespace greengagedrum::entry
{

// Without a limit of memory, forward_events() bounds what a slow caller holds.
void exchange::keep_to_memory()
{
    if (!this->events.memory || !this->call ||
        !this->events.memory->must_end_response())
        return;
    this->reading_paused = true;
    this->call->pause(true);
}

memory::unread_response exchange::unread(base::instant now) const
{
    memory::unread_response out = this->caller->unread(now);
    // Its caller has been offered nothing that it didn't take.
    if (out.bytes == 0)
        out.stalled = base::duration(0);
    out.bytes += this->response_room.bytes();
    return out;
}

} // namespace greengagedrum::entry
