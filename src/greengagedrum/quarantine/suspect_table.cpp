#include <greengagedrum/placement/mix.hpp>
#include <greengagedrum/quarantine/suspect_table.hpp>

#include <algorithm>
#include <iterator>

namespace greengagedrum::quarantine
{

namespace
{

// What an upstream wrote before its end may be read so much later.
constexpr base::duration read_late = std::chrono::milliseconds(100);

// Records that nothing was added to for so long are dropped.
constexpr base::duration suspect_lapse = std::chrono::minutes(10);
constexpr base::duration quarantine_lapse = std::chrono::hours(48);
constexpr base::duration sweep_gap = std::chrono::seconds(1);

constexpr std::size_t records_most = 2048;
constexpr std::size_t workspace_records_most = records_most / 4;

// A change is sent for so long, some messages to each peer.
constexpr base::duration news_period = std::chrono::milliseconds(400);
constexpr std::size_t fresh_most = 16;
constexpr std::size_t barred_by_turns = 8;
constexpr std::size_t others_by_turns = 4;

} // namespace

// ---- Standing -------------------------------------------------------------

// Entries may make their trial one after the other.
double suspect_table::offset(const base::request_digest& request) const
{
    constexpr std::uint64_t parts = 1024;
    return static_cast<double>(placement::mix(this->salt, request.low) %
                               parts) /
           static_cast<double>(parts);
}

quarantine_state suspect_table::state_of(const base::request_digest& request,
                                         base::instant now) const
{
    const auto found = this->records.find(request);
    return found == this->records.end()
               ? quarantine_state::clear
               : found->second.known.state_at(now, this->offset(request));
}

base::duration
suspect_table::time_until_trial(const base::request_digest& request,
                                base::instant now) const
{
    constexpr base::duration least = std::chrono::seconds(1);
    if (this->state_of(request, now) != quarantine_state::quarantined)
        return base::duration(0);
    const crash_record& known = this->records.at(request).known;
    return std::max(known.trial_from(this->offset(request)) - now, least);
}

void suspect_table::note_change(const base::request_digest& request,
                                const entry& of,
                                quarantine_state before,
                                base::instant now,
                                changes& out) const
{
    const quarantine_state after =
        of.known.state_at(now, this->offset(request));
    if (after != before)
        out.push_back({request, of.known.workspace(), after, of.known.count()});
}

// ---- What this entry sees ---------------------------------------------------

suspect_table::changes
suspect_table::on_crash(const base::request_digest& request,
                        base::workspace_id workspace,
                        base::upstream_id upstream,
                        base::instant now)
{
    changes out;
    const auto answered = this->answers.last(request);
    if (answered && now <= *answered + answer_holds)
        return out;
    entry& own = this->find_or_add(request, workspace);
    const quarantine_state before = this->state_of(request, now);
    if (own.known.add(upstream, now, false))
        own.changed_at = now;
    this->presumed_gone[upstream] = now;
    this->note_change(request, own, before, now, out);
    return out;
}

suspect_table::changes
suspect_table::clear_suspicion(const base::request_digest& request,
                               base::instant now)
{
    changes out;
    this->answers.add(request, now);
    const auto found = this->records.find(request);
    if (found == this->records.end())
        return out;
    entry& own = found->second;
    const quarantine_state before = this->state_of(request, now);
    own.known.answered(now);
    if (before != quarantine_state::clear)
        own.changed_at = now;
    this->note_change(request, own, before, now, out);
    return out;
}

void suspect_table::on_sent(const base::request_digest& request,
                            base::instant now)
{
    if (this->state_of(request, now) != quarantine_state::trial_due)
        return;
    entry& own = this->records.at(request);
    own.known.trial_sent(now);
    own.changed_at = now;
}

template <class Change>
suspect_table::changes suspect_table::change_all(base::instant now,
                                                 const Change& apply)
{
    changes out;
    for (auto& [request, own] : this->records) {
        const quarantine_state before = this->state_of(request, now);
        if (apply(own.known))
            own.changed_at = now;
        this->note_change(request, own, before, now, out);
    }
    return out;
}

suspect_table::changes
suspect_table::on_upstream_answered(base::upstream_id upstream,
                                    base::instant now)
{
    const auto gone = this->presumed_gone.find(upstream);
    if (gone == this->presumed_gone.end() || now < gone->second + read_late)
        return {};
    return this->on_upstream_reachable(upstream, now);
}

// Its connections were reset, no more.
suspect_table::changes
suspect_table::on_upstream_reachable(base::upstream_id upstream,
                                     base::instant now)
{
    this->presumed_gone.erase(upstream);
    this->found_alive[upstream] = now;
    return this->change_all(
        now, [&](crash_record& known) { return known.remove(upstream); });
}

suspect_table::changes
suspect_table::on_upstream_gone(base::upstream_id upstream, base::instant now)
{
    return this->change_all(
        now, [&](crash_record& known) { return known.confirm(upstream); });
}

// ---- What peers see ---------------------------------------------------------

std::vector<suspect_report> suspect_table::collect_reports(base::instant now,
                                                           bool rest)
{
    std::vector<suspect_report> out;
    for (const auto& [request, own] : this->records) {
        if (out.size() < fresh_most && now - own.changed_at < news_period)
            out.push_back(own.known.report(request, now));
    }
    if (!rest)
        return out;
    this->add_by_turns(now, true, barred_by_turns, this->last_barred, out);
    this->add_by_turns(now, false, others_by_turns, this->last_others, out);
    return out;
}

void suspect_table::add_by_turns(base::instant now,
                                 bool wanted_barred,
                                 std::size_t most,
                                 base::request_digest& last,
                                 std::vector<suspect_report>& out) const
{
    auto next = this->records.upper_bound(last);
    for (std::size_t seen = 0; seen < this->records.size() && most > 0;
         ++seen, ++next) {
        if (next == this->records.end())
            next = this->records.begin();
        const entry& own = next->second;
        const bool fresh = now - own.changed_at < news_period;
        const bool is_barred = own.known.count() >= crashes_allowed;
        if (fresh || is_barred != wanted_barred)
            continue;
        out.push_back(own.known.report(next->first, now));
        last = next->first;
        most -= 1;
    }
}

suspect_table::changes
suspect_table::merge(std::span<const suspect_report> received,
                     base::instant now)
{
    changes out;
    for (const suspect_report& one : received) {
        if (!this->has_room_for(one))
            continue;
        entry& own = this->find_or_add(one.request, one.workspace);
        const quarantine_state before = this->state_of(one.request, now);
        if (this->merge_one(own, one, now))
            own.changed_at = now;
        this->note_change(one.request, own, before, now, out);
    }
    return out;
}

bool suspect_table::merge_one(entry& own,
                              const suspect_report& received,
                              base::instant now)
{
    bool changed = own.known.merge_times(received, now);
    for (const reported_crash& one : received.crashes) {
        if (this->found_alive.contains(one.upstream))
            continue;
        if (!own.known.add(one.upstream, now - one.age, true))
            continue;
        this->presumed_gone.try_emplace(one.upstream, now - one.age);
        changed = true;
    }
    const auto answered = this->answers.last(received.request);
    if (answered && own.known.answered(*answered))
        changed = true;
    return changed;
}

// In a full table what a peer repeats of single crashes would only replace one
// another.
bool suspect_table::has_room_for(const suspect_report& received) const
{
    if (received.crashes.size() >= crashes_allowed ||
        this->records.contains(received.request))
        return true;
    const auto own = this->by_workspace.find(received.workspace);
    return this->records.size() < records_most &&
           (own == this->by_workspace.end() ||
            own->second < workspace_records_most);
}

// ---- Bounds -----------------------------------------------------------------

suspect_table::entry&
suspect_table::find_or_add(const base::request_digest& request,
                           base::workspace_id workspace)
{
    const auto found = this->records.find(request);
    if (found != this->records.end())
        return found->second;
    this->make_room(workspace);
    this->by_workspace[workspace] += 1;
    return this->records
        .emplace(request, entry{crash_record(workspace), base::instant()})
        .first->second;
}

void suspect_table::make_room(base::workspace_id workspace)
{
    const auto own = this->by_workspace.find(workspace);
    if (own != this->by_workspace.end() &&
        own->second >= workspace_records_most)
        return this->drop_least(workspace);
    if (this->records.size() < records_most)
        return;
    const auto largest =
        std::max_element(this->by_workspace.begin(),
                         this->by_workspace.end(),
                         [](const auto& one, const auto& other) {
                             return one.second < other.second;
                         });
    this->drop_least(largest->first);
}

// The one with the fewest crashes, the oldest of these.
void suspect_table::drop_least(base::workspace_id workspace)
{
    auto least = this->records.end();
    const auto rank = [](const entry& of) {
        return std::pair(of.known.count(), of.known.last_crash());
    };
    for (auto one = this->records.begin(); one != this->records.end(); ++one) {
        if (one->second.known.workspace() == workspace &&
            (least == this->records.end() ||
             rank(one->second) < rank(least->second)))
            least = one;
    }
    if (least != this->records.end())
        this->erase(least);
}

void suspect_table::erase(entry_map::iterator which)
{
    const auto owner = this->by_workspace.find(which->second.known.workspace());
    if (--owner->second == 0)
        this->by_workspace.erase(owner);
    this->records.erase(which);
}

void suspect_table::remove_expired(base::instant now)
{
    if (now < this->swept_at + sweep_gap)
        return;
    this->swept_at = now;
    for (auto one = this->records.begin(); one != this->records.end();) {
        const auto next = std::next(one);
        const entry& own = one->second;
        const base::duration idle =
            now - std::max(own.known.last_crash(), own.changed_at);
        const bool is_barred = own.known.count() >= crashes_allowed;
        if (idle > (is_barred ? quarantine_lapse : suspect_lapse))
            this->erase(one);
        one = next;
    }
    const auto old = [&](const auto& one) {
        return now - one.second > suspect_lapse;
    };
    std::erase_if(this->presumed_gone, old);
    std::erase_if(this->found_alive, old);
}

suspect_table::changes suspect_table::list_quarantined(base::instant now) const
{
    changes out;
    for (const auto& [request, own] : this->records) {
        const std::size_t crashes = own.known.count();
        if (crashes >= crashes_allowed)
            out.push_back({request,
                           own.known.workspace(),
                           this->state_of(request, now),
                           crashes});
    }
    return out;
}

} // namespace greengagedrum::quarantine
