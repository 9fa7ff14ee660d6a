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

} // namespace

bool scheduler::is_quarantined(const request& item) const
{
    return !this->suspects.empty() &&
           this->suspects.state_of(item.facts.digest, this->now) ==
               quarantine_state::quarantined;
}

// Only one copy of a suspected request runs at a time. Its result decides
// whether another may run.
bool scheduler::waits_for_copy(const request& item) const
{
    if (this->suspects.empty() ||
        this->suspects.state_of(item.facts.digest, this->now) ==
            quarantine_state::clear)
        return false;
    return std::any_of(
        this->requests.begin(), this->requests.end(), [&](const auto& one) {
            return one.second.send != 0 && one.first != item.id &&
                   one.second.facts.digest == item.facts.digest;
        });
}

// An earlier send may have run the request.
void scheduler::refuse_quarantined(request& item)
{
    if (item.uncertain > 0)
        return this->end(item, base::may_have_run(base::reason::quarantined));
    this->end(item,
              base::not_run(base::reason::quarantined,
                            this->suspects.time_until_trial(item.facts.digest,
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
    if (this->now - item.sent_at >= silence_least &&
        this->pool.progress_at(item.upstream) < item.sent_at)
        this->record_crash(item);
}

void scheduler::record_crash(const request& item)
{
    if (item.facts.digest.empty())
        return;
    this->tell(this->suspects.on_crash(
        item.facts.digest, item.facts.workspace, item.upstream, this->now));
    this->out->push_back(check_upstream{item.upstream});
}

void scheduler::on(const upstream_checked& what)
{
    this->tell(
        what.accepts_connections
            ? this->suspects.on_upstream_reachable(what.upstream, this->now)
            : this->suspects.on_upstream_gone(what.upstream, this->now));
}

void scheduler::record_answer(const request& item)
{
    this->tell(this->suspects.on_upstream_answered(item.upstream, this->now));
    if (!item.facts.digest.empty())
        this->tell(
            this->suspects.clear_suspicion(item.facts.digest, this->now));
}

void scheduler::tell(const quarantine::suspect_table::changes& changes)
{
    this->out->insert(this->out->end(), changes.begin(), changes.end());
}

} // namespace greengagedrum::traffic
