// Requests under which upstreams end, in the life of a request at this entry.
#include <greengagedrum/traffic/scheduler.hpp>

#include <algorithm>

namespace greengagedrum::traffic
{

using quarantine::quarantine_state;

namespace
{

// A send that ends sooner says nothing of its upstream.
constexpr base::duration silence_least = std::chrono::seconds(1);

} // namespace

bool scheduler::is_quarantined(const request& item) const
{
    return !this->suspects.empty() &&
           this->suspects.state_of(item.facts.digest, this->now) ==
               quarantine_state::quarantined;
}

// Of a suspect one copy runs at a time: its end says whether there may be
// another.
bool scheduler::awaits_copy(const request& item) const
{
    if (this->suspects.empty() ||
        this->suspects.state_of(item.facts.digest, this->now) ==
            quarantine_state::clear)
        return false;
    return std::any_of(
        this->requests.begin(), this->requests.end(), [&](const auto& one) {
            return one.second.send != 0 &&
                   one.second.facts.digest == item.facts.digest;
        });
}

// Of an earlier send it may still have run.
void scheduler::refuse_quarantined(request& item)
{
    if (item.uncertain > 0)
        return this->end(item, base::may_have_run(base::reason::quarantined));
    this->end(item,
              base::not_run(base::reason::quarantined,
                            this->suspects.time_until_trial(item.facts.digest,
                                                            this->now)));
}

// The send ends here, without an answer. Where its upstream has shown no sign
// of life since, the request may have ended it without a trace: a host that
// loses its power closes no connection.
void scheduler::note_unfinished(const request& item)
{
    if (this->now - item.sent_at >= silence_least &&
        this->pool.progress_at(item.upstream) < item.sent_at)
        this->note_crash(item);
}

void scheduler::note_crash(const request& item)
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

void scheduler::note_answer(const request& item)
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
