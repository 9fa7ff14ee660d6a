// The part of request_handler that finds the version for a stream which a
// caller takes up, before the request is submitted to the scheduler.
#include <greengagedrum/entry/request_handler.hpp>
#include <greengagedrum/entry/stream_versions.hpp>

#include <algorithm>

namespace greengagedrum::entry
{

namespace
{

// A caller may come back to an entry that knows, or find that the entries have
// run for long enough.
constexpr base::duration retry_after_unknown_version =
    std::chrono::milliseconds(200);

// Well within the lifetime of a record, for streams that take longer than that.
constexpr base::duration record_renewal = std::chrono::seconds(10);

} // namespace

// The try that brought the first event of the request's stream: the one that
// the caller names, or else its own.
const std::string& request_handler::first_attempt_of(const request_info& info)
{
    return info.resumed && info.marks.resumed_attempt
               ? *info.marks.resumed_attempt
               : info.marks.attempt;
}

void request_handler::submit_arrival(base::request_id id,
                                     const traffic::request_facts& facts)
{
    const request_info& info = this->requests.at(id).http_exchange->info();
    if (!info.resumed)
        return this->submit_event(traffic::request_arrived{id, facts});
    this->versions.look_up(
        {info.marks.attempt, first_attempt_of(info), facts.service},
        [this, id, facts, begun = this->state.clock()](
            const versions::finding& found) {
            this->on_version_found(id, facts, begun, found);
        });
}

// The caller may have left, or the request have been refused, meanwhile.
void request_handler::on_version_found(base::request_id id,
                                       traffic::request_facts facts,
                                       base::instant lookup_begun,
                                       const versions::finding& found)
{
    if (!this->requests.contains(id))
        return;
    facts.version = versions::version_of(found);
    if (facts.version.empty())
        return this->execute_action(traffic::end_request{
            id,
            base::not_run(base::reason::stream_version_unknown,
                          retry_after_unknown_version)});
    const base::duration took = this->state.clock() - lookup_begun;
    facts.time_left = std::max(facts.time_left - took, base::duration(0));
    facts.caller_time_left =
        std::max(facts.caller_time_left - took, base::duration(0));
    active_request& request = this->requests.at(id);
    request.version = facts.version;
    request.recorded_at = this->state.clock();
    this->submit_event(traffic::request_arrived{id, facts});
    if (this->state.delegating)
        this->on_load_changed();
}

void request_handler::renew_version_records()
{
    const base::instant now = this->state.clock();
    for (auto& [id, request] : this->requests) {
        if (request.version.empty() ||
            now - request.recorded_at < record_renewal)
            continue;
        request.recorded_at = now;
        this->versions.record(first_attempt_of(request.http_exchange->info()),
                              request.version);
    }
}

} // namespace greengagedrum::entry
