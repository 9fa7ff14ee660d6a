// The part of an exchange that goes on after its caller has disconnected.
#include <greengagedrum/entry/exchange.hpp>

#include <algorithm>

namespace greengagedrum::entry
{

void exchange::abandon()
{
    const bool leave_running =
        !this->request.repeatable && !this->request.stream;
    // Nothing of the request was sent as long as a peer is not connected.
    if (!leave_running || this->tunnel)
        return this->stop_send();
    if (this->events.memory) {
        this->discarding = true;
        this->buffered_body = {};
        this->response_room.resize(0);
        if (this->reading_paused && this->call)
            this->call->pause(false);
    }
    // The upstream call keeps this object alive until it ends; its events are
    // dropped.
    this->events.on_event = [](const traffic::event&) {};
    this->stop_abandoned_at_deadline();
}

void exchange::stop_abandoned_at_deadline()
{
    this->abandoned_end.expires_after(
        std::max(base::duration(0), this->deadline - this->paths.now()));
    this->abandoned_end.async_wait(
        [weak = this->weak_from_this()](relay::error_code fault) {
            const auto self = weak.lock();
            if (!fault && self)
                self->stop_send();
        });
}

} // namespace greengagedrum::entry
