#include <greengagedrum/traffic/reachability.hpp>

#include <algorithm>

namespace greengagedrum::traffic
{

namespace
{

// Upstreams that an entry fails to reach one after the other, without reaching
// any in between, before the fault is taken for its own.
constexpr std::size_t isolated_after = 3;

// As long as an outlier's, so that an entry's path is in use again as soon as
// an upstream would be.
constexpr base::duration first_pause = std::chrono::milliseconds(250);
constexpr base::duration last_pause = std::chrono::milliseconds(1000);

// Interval at which an isolated entry tries an upstream. Each try takes a slot
// from the other entries until the connect times out.
constexpr base::duration isolated_probe_interval =
    std::chrono::milliseconds(50);

// A failure says nothing any more after this time.
constexpr base::duration failure_max_age = std::chrono::seconds(3);

} // namespace

std::size_t reachability::streak_length(const entry_state& one)
{
    return static_cast<std::size_t>(std::count_if(
        one.failures.begin(), one.failures.end(), [](const failure& each) {
            return each.in_streak;
        }));
}

bool reachability::is_isolated(const entry_state& one)
{
    return streak_length(one) >= isolated_after;
}

void reachability::remove_expired(entry_state& one, base::instant now)
{
    std::erase_if(one.failures, [&](const failure& each) {
        return now - each.sent_at > failure_max_age;
    });
}

void reachability::on_sent(base::slot_id entry, base::instant now)
{
    if (entry != this_entry)
        this->other_sent_at = now;
    const auto found = this->entries.find(entry);
    if (found != this->entries.end() && is_isolated(found->second))
        found->second.probe_at = now + isolated_probe_interval;
}

bool reachability::has_others(base::instant now) const
{
    return this->other_sent_at != base::instant() &&
           now - this->other_sent_at <= failure_max_age;
}

bool reachability::on_reached(base::slot_id entry,
                              base::upstream_id upstream,
                              base::instant sent_at)
{
    reached& latest = this->upstreams[upstream];
    if (latest.entry != entry) {
        latest.other_entry = latest.entry;
        latest.other_sent_at = latest.sent_at;
        latest.entry = entry;
        latest.sent_at = sent_at;
    } else {
        latest.sent_at = std::max(latest.sent_at, sent_at);
    }
    bool refutes = false;
    for (auto& [failed_entry, other] : this->entries) {
        for (failure& each : other.failures) {
            if (each.upstream != upstream || !each.counted ||
                each.sent_at >= sent_at)
                continue;
            each.counted = false;
            refutes = true;
        }
    }
    const auto found = this->entries.find(entry);
    if (found == this->entries.end())
        return refutes;
    entry_state& one = found->second;
    // A connection that was there before may outlive the path for new ones.
    if (sent_at < one.streak_began_at)
        return refutes;
    std::erase_if(one.failures, [&](const failure& each) {
        return each.upstream == upstream && each.sent_at < sent_at;
    });
    for (failure& each : one.failures)
        each.in_streak = false;
    if (one.failures.empty())
        this->entries.erase(found);
    return refutes;
}

bool reachability::reached_by_another(base::slot_id entry,
                                      base::upstream_id upstream,
                                      base::instant since) const
{
    const auto found = this->upstreams.find(upstream);
    if (found == this->upstreams.end())
        return false;
    const reached& latest = found->second;
    return (latest.entry != entry && !latest.entry.empty() &&
            latest.sent_at >= since) ||
           (latest.other_entry != entry && !latest.other_entry.empty() &&
            latest.other_sent_at >= since);
}

// True when an entry that reaches other upstreams has failed at this one too.
bool reachability::failed_at_another(base::slot_id entry,
                                     base::upstream_id upstream) const
{
    return std::any_of(
        this->entries.begin(), this->entries.end(), [&](const auto& each) {
            return each.first != entry && !is_isolated(each.second) &&
                   std::any_of(each.second.failures.begin(),
                               each.second.failures.end(),
                               [&](const failure& one) {
                                   return one.upstream == upstream;
                               });
        });
}

reachability::connect_verdict
reachability::on_connect_failed(base::slot_id entry,
                                base::upstream_id upstream,
                                base::instant sent_at,
                                base::instant now)
{
    connect_verdict out;
    if (!this->has_others(now))
        return out;
    entry_state& one = this->entries[entry];
    remove_expired(one, now);
    if (streak_length(one) == 0)
        one.streak_began_at = sent_at;
    const bool was_isolated = is_isolated(one);
    auto own = std::find_if(
        one.failures.begin(), one.failures.end(), [&](const failure& each) {
            return each.upstream == upstream;
        });
    // Since the failure before, if there was one: it was the entry's own.
    const base::instant since =
        own == one.failures.end() ? sent_at : own->sent_at;
    if (own == one.failures.end())
        own = one.failures.insert(own, failure{upstream, {}, {}});
    own->sent_at = sent_at;
    own->pause = own->pause.count() == 0 ? first_pause
                                         : std::min(own->pause * 2, last_pause);
    own->avoided_until = now + own->pause;
    out.counts =
        !this->reached_by_another(entry, upstream, since) &&
        (!is_isolated(one) || this->failed_at_another(entry, upstream));
    own->counted = own->counted || out.counts;
    if (was_isolated || !is_isolated(one))
        return out;
    one.probe_at = now + isolated_probe_interval;
    for (failure& each : one.failures) {
        if (!each.counted || !each.in_streak ||
            this->failed_at_another(entry, each.upstream))
            continue;
        each.counted = false;
        out.retracted.push_back(each.upstream);
    }
    return out;
}

bool reachability::is_unrestricted(base::slot_id entry, base::instant now) const
{
    const auto found = this->entries.find(entry);
    return found == this->entries.end() ||
           std::all_of(found->second.failures.begin(),
                       found->second.failures.end(),
                       [&](const failure& each) {
                           return now - each.sent_at > failure_max_age;
                       });
}

bool reachability::avoids(base::slot_id entry,
                          base::upstream_id upstream,
                          base::instant now) const
{
    const auto found = this->entries.find(entry);
    if (found == this->entries.end())
        return false;
    const entry_state& one = found->second;
    if (is_isolated(one) && now < one.probe_at)
        return true;
    return std::any_of(
        one.failures.begin(), one.failures.end(), [&](const failure& each) {
            return each.upstream == upstream && now < each.avoided_until;
        });
}

void reachability::forget_upstream(base::upstream_id upstream)
{
    this->upstreams.erase(upstream);
    for (auto& [entry, one] : this->entries)
        std::erase_if(one.failures, [&](const failure& each) {
            return each.upstream == upstream;
        });
}

} // namespace greengagedrum::traffic
