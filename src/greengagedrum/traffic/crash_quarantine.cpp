// Quarantine of requests that crash upstreams, as part of the scheduler.
#include <greengagedrum/traffic/scheduler.hpp>

#include <algorithm>

namespace greengagedrum::traffic
{

using quarantine::quarantine_state;

namespace
{

// A send that ends sooner than this is no evidence about its upstream.
constexpr base::duration silence_least = std::chrono::seconds(1);

// A stream with events for longer than this did not crash its upstream as it
// began.
constexpr base::duration answer_start_time = std::chrono::milliseconds(250);

} // namespace

quarantine::request_features scheduler::features_of(const request& item)
{
    return {item.facts.digest, item.facts.prompt_parts};
}

bool scheduler::is_quarantined(const request& item) const
{
    return !this->suspects.empty() &&
           this->suspects.state_of(features_of(item), this->now) ==
               quarantine_state::quarantined;
}

// Only one request with a suspected feature runs at a time until its answer has
// begun. Its result decides whether another may run.
bool scheduler::waits_for_copy(const request& item) const
{
    if (!this->quarantine_known &&
        (!item.facts.digest.empty() || !item.facts.prompt_parts.empty()))
        return true;
    if (this->suspects.empty())
        return false;
    const quarantine_state state =
        this->suspects.state_of(features_of(item), this->now);
    if (state == quarantine_state::clear)
        return false;
    if (state == quarantine_state::confirming)
        return true;
    return std::any_of(
        this->requests.begin(), this->requests.end(), [&](const auto& one) {
            return one.second.send != 0 && one.first != item.id &&
                   this->shares_suspect(one.second, item);
        });
}

bool scheduler::shares_suspect(const request& running,
                               const request& queued) const
{
    if (!queued.facts.digest.empty() &&
        running.facts.digest == queued.facts.digest)
        return true;
    const std::vector<base::request_digest>& parts = running.facts.prompt_parts;
    return !this->answer_has_begun(running) &&
           std::any_of(queued.facts.prompt_parts.begin(),
                       queued.facts.prompt_parts.end(),
                       [&](const base::request_digest& part) {
                           return this->suspects.state_of(part, this->now) !=
                                      quarantine_state::clear &&
                                  std::find(parts.begin(), parts.end(), part) !=
                                      parts.end();
                       });
}

// A part of a prompt that crashes upstreams does so as the answer begins, so a
// stream that went on for a while shows that its parts are sound. Only the time
// up to the last event counts: a crash may be noticed long after it.
bool scheduler::answer_has_begun(const request& item) const
{
    return item.events > 1 &&
           item.progress_at - item.first_event_at >= answer_start_time;
}

// An earlier send may have run the request.
void scheduler::refuse_quarantined(request& item)
{
    if (item.uncertain > 0)
        return this->end(item, base::may_have_run(base::reason::quarantined));
    this->end(item,
              base::not_run(base::reason::quarantined,
                            this->suspects.time_until_trial(features_of(item),
                                                            this->now)));
}

// Called when a send ends at this entry without an answer. If its upstream has
// made no progress since, the request may have crashed it unnoticed: a host
// that loses power closes no connection.
void scheduler::record_unfinished(const request& item)
{
    if (!item.facts.delegated)
        this->queues[item.facts.service].record_cut(item.facts.kind,
                                                    this->now - item.sent_at);
    // An answer that the entry doesn't read may well be coming.
    if (!item.paused_at && this->now - item.sent_at >= silence_least &&
        this->pool.progress_at(item.upstream) < item.sent_at)
        this->record_crash(item);
}

void scheduler::record_crash(const request& item)
{
    if (item.facts.digest.empty())
        return;
    this->tell(this->suspects.on_crash(
        item.facts.digest, item.facts.workspace, item.upstream, this->now));
    if (!this->answer_has_begun(item))
        this->tell(this->suspects.on_crash(item.facts.prompt_parts,
                                           item.facts.workspace,
                                           item.upstream,
                                           this->now));
    this->out->push_back(check_upstream{item.upstream});
}

void scheduler::on(const upstream_checked& what)
{
    this->tell(
        what.accepts_connections
            ? this->suspects.on_upstream_reachable(what.upstream, this->now)
            : this->suspects.on_upstream_gone(what.upstream, this->now));
}

void scheduler::record_answer(const request& item, bool generated)
{
    this->tell(this->suspects.on_upstream_answered(item.upstream, this->now));
    if (!item.facts.digest.empty())
        this->tell(
            this->suspects.clear_suspicion(item.facts.digest, this->now));
    // An error response does not show that an answer to the prompt could begin.
    if (!generated)
        return;
    const base::instant began =
        item.events > 0 ? item.first_event_at : this->now;
    this->tell(this->suspects.on_answer_begun(
        item.facts.prompt_parts, began, this->now));
}

void scheduler::record_answer_begun(request& item)
{
    if (item.parts_cleared || !this->answer_has_begun(item))
        return;
    item.parts_cleared = true;
    this->tell(this->suspects.on_answer_begun(
        item.facts.prompt_parts, item.first_event_at, this->now));
}

void scheduler::tell(const quarantine::suspect_table::changes& changes)
{
    this->out->insert(this->out->end(), changes.begin(), changes.end());
}

} // namespace greengagedrum::traffic
