// The part of an exchange that keeps its response within the memory of the
// process.
#include <greengagedrum/entry/exchange.hpp>
#include <greengagedrum/memory/bounded_append.hpp>

namespace greengagedrum::entry
{

// Without a limit of memory, forward_events() bounds what a slow caller holds.
void exchange::keep_to_memory()
{
    if (!this->events.memory || !this->call ||
        !this->events.memory->must_end_response())
        return;
    this->pause_reading();
}

void exchange::buffer_body(std::string_view bytes)
{
    if (this->events.memory)
        memory::append_bounded(
            this->buffered_body, bytes, *this->events.memory);
    else
        this->buffered_body += bytes;
}

bool exchange::holds_unfinished_response() const
{
    return this->call && this->response_room.bytes() > this->caller->unsent();
}

void exchange::release_response()
{
    this->buffered_body = {};
    this->splitter = relay::event_splitter();
    this->response_room.resize(0);
}

void exchange::end_for_memory()
{
    const bool too_long = this->response_room.bytes() >
                          this->events.memory->levels().workspace_share;
    this->stop_send();
    if (too_long)
        return this->on_broken(traffic::interruption_cause::malformed,
                               "response longer than the memory allows");
    this->on_broken(traffic::interruption_cause::memory_short,
                    "ended for want of memory");
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
