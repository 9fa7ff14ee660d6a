#include <greengagedrum/dispatch/send_status_log.hpp>

#include <variant>

namespace greengagedrum::dispatch
{

namespace
{

// Of a dispatcher that is silent for half a second, at a hundred requests a
// second; beyond it the oldest are dropped. The dispatcher learns of the end of
// such a send all the same, since the next report does not name it.
constexpr std::size_t news_most = 64;

struct change_reader {
    send_status operator()(const traffic::connect_failed&) const
    {
        return send_status::not_sent;
    }
    send_status operator()(const traffic::send_rejected& what) const
    {
        return what.cause == traffic::rejection::misdirected
                   ? send_status::misdirected
                   : send_status::rejected_full;
    }
    send_status operator()(const traffic::events_received&) const
    {
        return send_status::first_event;
    }
    send_status operator()(const traffic::answer_received& what) const
    {
        return what.successful ? send_status::completed
                               : send_status::error_answer;
    }
    send_status operator()(const traffic::answer_interrupted&) const
    {
        return send_status::connection_broken;
    }
};

} // namespace

void send_status_log::record(const traffic::event& what)
{
    if (const auto* left = std::get_if<traffic::caller_left>(&what)) {
        std::erase_if(this->started_sends, [&](const send_id& one) {
            return one.request == left->request;
        });
        return;
    }
    std::visit(
        [this](const auto& one) {
            if constexpr (
                requires { one.send; } && requires { change_reader{}(one); })
                this->record({one.request, one.send}, change_reader{}(one));
        },
        what);
}

void send_status_log::record(const send_id& name, send_status what)
{
    if (what == send_status::first_event) {
        if (!this->started_sends.insert(name).second)
            return;
    } else {
        this->started_sends.erase(name);
    }
    this->updates.push_back({++this->last_sequence, name, what});
    if (this->updates.size() > news_most)
        this->updates.pop_front();
}

void send_status_log::acknowledge(std::uint64_t number)
{
    while (!this->updates.empty() && this->updates.front().sequence <= number)
        this->updates.pop_front();
}

std::vector<send_status_update> send_status_log::unacknowledged() const
{
    return {this->updates.begin(), this->updates.end()};
}

} // namespace greengagedrum::dispatch
