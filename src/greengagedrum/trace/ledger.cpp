#include <greengagedrum/trace/ledger.hpp>

#include <algorithm>

namespace greengagedrum::trace
{

std::size_t request_record::handed_over() const
{
    return static_cast<std::size_t>(
        std::count_if(this->dispatches.begin(),
                      this->dispatches.end(),
                      [](const handing_over& one) { return !one.refused; }));
}

void ledger::note(const delivery::event& what)
{
    if (const auto* arrived = std::get_if<delivery::request_arrived>(&what))
        this->records[arrived->request].repetition = arrived->spec.repetition;
    const auto* refused = std::get_if<delivery::connect_refused>(&what);
    if (refused == nullptr)
        return;
    const auto found = this->owners.find(refused->dispatch);
    if (found == this->owners.end())
        return;
    for (handing_over& one : this->records[found->second].dispatches) {
        if (one.dispatch == refused->dispatch &&
            one.connection == refused->connection)
            one.refused = true;
    }
}

std::optional<std::string> ledger::note(const delivery::action& what,
                                        base::instant now)
{
    return std::visit([&](const auto& one) { return this->take(one, now); },
                      what);
}

const request_record* ledger::find(base::request_id id) const
{
    const auto found = this->records.find(id);
    return found == this->records.end() ? nullptr : &found->second;
}

std::optional<base::request_id> ledger::owner(base::dispatch_id dispatch) const
{
    const auto found = this->owners.find(dispatch);
    if (found == this->owners.end())
        return std::nullopt;
    return found->second;
}

ledger::finding ledger::take(const delivery::start_dispatch& what,
                             base::instant now)
{
    request_record& record = this->records[what.request];
    if (record.ended)
        return "a request was dispatched after its end";
    if (record.repetition == base::repetition::at_most_once &&
        record.handed_over() > 0)
        return "a request that may run at most once was dispatched again";
    if (!this->owners.emplace(what.dispatch, what.request).second)
        return "a dispatch id was used twice";
    record.dispatches.push_back(
        {what.dispatch, what.upstream, now, what.connection, false});
    return std::nullopt;
}

ledger::finding ledger::take(const delivery::start_resume& what,
                             base::instant now)
{
    static_cast<void>(now);
    request_record& record = this->records[what.request];
    if (record.ended)
        return "a stream was resumed after its request's end";
    if (record.dispatches.empty() ||
        record.dispatches.back().dispatch != what.dispatch ||
        record.dispatches.back().upstream != what.upstream)
        return "a stream was resumed that is not the request's newest";
    record.resumes += 1;
    record.dispatches.back().connection = what.connection;
    return std::nullopt;
}

ledger::finding ledger::take(const delivery::stop_stream& what,
                             base::instant now)
{
    static_cast<void>(now);
    request_record& record = this->records[what.request];
    if (!what.cancel)
        return std::nullopt;
    record.cancels += 1;
    if (record.repetition == base::repetition::at_most_once)
        return "a request that may run at most once was cancelled";
    return std::nullopt;
}

ledger::finding ledger::end(base::request_id request, base::instant now)
{
    request_record& record = this->records[request];
    if (record.ended)
        return "a request ended twice";
    record.ended = now;
    return std::nullopt;
}

ledger::finding ledger::take(const delivery::end_answered& what,
                             base::instant now)
{
    if (what.answer != nullptr)
        this->records[what.request].answer_length = what.answer->body.size();
    return this->end(what.request, now);
}

ledger::finding ledger::take(const delivery::end_failed& what,
                             base::instant now)
{
    request_record& record = this->records[what.request];
    const bool said_not_run = what.verdict.run == base::run_state::not_run;
    record.verdict = what.verdict;
    if (said_not_run && record.handed_over() > 0)
        return "a request was told not_run after it had been handed over";
    return this->end(what.request, now);
}

ledger::finding ledger::take(const delivery::assign_ticket& what,
                             base::instant now)
{
    static_cast<void>(what);
    static_cast<void>(now);
    return std::nullopt;
}

ledger::finding ledger::take(const delivery::send_load_digest& what,
                             base::instant now)
{
    static_cast<void>(what);
    static_cast<void>(now);
    return std::nullopt;
}

ledger::finding ledger::take(const delivery::send_claim_message& what,
                             base::instant now)
{
    static_cast<void>(what);
    static_cast<void>(now);
    return std::nullopt;
}

} // namespace greengagedrum::trace
