#include <greengagedrum/dispatch/send_status_log.hpp>

#include <variant>

namespace greengagedrum::dispatch
{

namespace
{

// Enough for a dispatcher that is silent for half a second, at a hundred
// requests a second. Beyond it the oldest updates are dropped; the dispatcher
// still learns that such a send has ended, since the next report does not list
// it.
constexpr std::size_t max_updates = 64;

struct status_reader {
    send_status operator()(const traffic::connect_failed& event) const
    {
        // The latter says nothing about the upstream.
        return event.own_shortage ? send_status::reused_connection_lost
                                  : send_status::not_sent;
    }
    send_status operator()(const traffic::send_rejected& event) const
    {
        return event.cause == traffic::rejection::misdirected
                   ? send_status::misdirected
                   : send_status::rejected_full;
    }
    send_status operator()(const traffic::events_received&) const
    {
        return send_status::first_event;
    }
    send_status operator()(const traffic::answer_received& event) const
    {
        return event.successful ? send_status::completed
                                : send_status::error_answer;
    }
    send_status operator()(const traffic::answer_interrupted& event) const
    {
        switch (event.cause) {
        // Neither says anything about the upstream.
        case traffic::interruption_cause::memory_short:
        case traffic::interruption_cause::reused_connection_lost:
            return send_status::reused_connection_lost;
        case traffic::interruption_cause::write_stalled:
            return send_status::write_stalled;
        case traffic::interruption_cause::stream_not_resumed:
            return send_status::error_answer;
        case traffic::interruption_cause::connection_lost:
        case traffic::interruption_cause::malformed:
            break;
        }
        return send_status::connection_broken;
    }
};

} // namespace

void send_status_log::record(const traffic::event& event)
{
    if (const auto* left = std::get_if<traffic::caller_left>(&event)) {
        std::erase_if(this->started_sends, [&](const send_id& started) {
            return started.request == left->request;
        });
        return;
    }
    std::visit(
        [this](const auto& send_event) {
            if constexpr (
                requires { send_event.send; } &&
                requires { status_reader{}(send_event); })
                this->record({send_event.request, send_event.send},
                             status_reader{}(send_event));
        },
        event);
}

void send_status_log::record(const send_id& id, send_status status)
{
    if (status == send_status::first_event) {
        if (!this->started_sends.insert(id).second)
            return;
    } else {
        this->started_sends.erase(id);
    }
    this->updates.push_back({++this->last_sequence, id, status});
    if (this->updates.size() > max_updates)
        this->updates.pop_front();
}

void send_status_log::acknowledge(std::uint64_t sequence)
{
    while (!this->updates.empty() && this->updates.front().sequence <= sequence)
        this->updates.pop_front();
}

std::vector<send_status_update> send_status_log::unacknowledged() const
{
    return {this->updates.begin(), this->updates.end()};
}

} // namespace greengagedrum::dispatch
