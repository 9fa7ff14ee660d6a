#include <greengagedrum/dispatch/send_journal.hpp>

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
    send_change operator()(const traffic::connect_failed&) const
    {
        return send_change::not_sent;
    }
    send_change operator()(const traffic::send_rejected& what) const
    {
        return what.cause == traffic::rejection::misdirected
                   ? send_change::misdirected
                   : send_change::full;
    }
    send_change operator()(const traffic::events_received&) const
    {
        return send_change::first_event;
    }
    send_change operator()(const traffic::answer_received& what) const
    {
        return what.successful ? send_change::good : send_change::failing;
    }
    send_change operator()(const traffic::answer_interrupted&) const
    {
        return send_change::broken;
    }
};

} // namespace

void send_journal::note(const traffic::event& what)
{
    if (const auto* left = std::get_if<traffic::caller_left>(&what)) {
        std::erase_if(this->begun, [&](const send_name& one) {
            return one.request == left->request;
        });
        return;
    }
    std::visit(
        [this](const auto& one) {
            if constexpr (
                requires { one.send; } && requires { change_reader{}(one); })
                this->note({one.request, one.send}, change_reader{}(one));
        },
        what);
}

void send_journal::note(const send_name& name, send_change what)
{
    if (what == send_change::first_event) {
        if (!this->begun.insert(name).second)
            return;
    } else {
        this->begun.erase(name);
    }
    this->news.push_back({++this->last, name, what});
    if (this->news.size() > news_most)
        this->news.pop_front();
}

void send_journal::taken(std::uint64_t number)
{
    while (!this->news.empty() && this->news.front().number <= number)
        this->news.pop_front();
}

std::vector<send_news> send_journal::untold() const
{
    return {this->news.begin(), this->news.end()};
}

} // namespace greengagedrum::dispatch
