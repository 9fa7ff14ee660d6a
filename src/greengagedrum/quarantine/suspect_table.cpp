#include <greengagedrum/placement/mix.hpp>
#include <greengagedrum/quarantine/suspect_table.hpp>

#include <algorithm>
#include <iterator>

namespace greengagedrum::quarantine
{

namespace
{

// Crashes, on different lives of upstreams, after which a request is not sent.
constexpr std::size_t crashes_allowed = 2;
// Crashes of one request that are kept.
constexpr std::size_t crashes_kept = 8;

// From the last crash to the next trial: ten times as long after each crash.
constexpr base::duration first_pause = std::chrono::seconds(60);
constexpr base::duration longest_pause = std::chrono::hours(24);
constexpr std::int64_t pause_growth = 10;
// For so long a trial is waited for before there may be another.
constexpr base::duration trial_takes = std::chrono::seconds(30);

// An upstream that crashes within this time of an answer of the same request
// crashed for another reason.
constexpr base::duration answer_holds = std::chrono::seconds(10);
constexpr std::size_t answers_kept = 1024;

// What an upstream wrote before its end may be read so much later.
constexpr base::duration read_late = std::chrono::milliseconds(100);

// Records that nothing was added to for so long are dropped.
constexpr base::duration suspect_lapse = std::chrono::minutes(10);
constexpr base::duration quarantine_lapse = std::chrono::hours(48);

constexpr base::duration sweep_gap = std::chrono::seconds(1);

constexpr std::size_t records_most = 2048;
constexpr std::size_t workspace_records_most = records_most / 4;

// A change is told for so long, some messages to each peer.
constexpr base::duration told_for = std::chrono::milliseconds(400);
constexpr std::size_t fresh_told = 16;
constexpr std::size_t quarantined_by_turns = 8;
constexpr std::size_t others_by_turns = 4;

base::duration pause_after(std::size_t crashes)
{
    base::duration out = first_pause;
    for (std::size_t at = crashes_allowed; at < crashes; ++at)
        out = std::min(out * pause_growth, longest_pause);
    return out;
}

// True when `to` was set to a later time.
bool raise(std::optional<base::instant>& to, base::instant at)
{
    if (to && *to >= at)
        return false;
    to = at;
    return true;
}

} // namespace

std::string_view to_string(standing what)
{
    switch (what) {
    case standing::clear:
        return "clear";
    case standing::suspected:
        return "suspected";
    case standing::trial_due:
        return "trial_due";
    case standing::quarantined:
        return "quarantined";
    }
    return "unknown";
}

// ---- Standing -------------------------------------------------------------

// Those that count: what was answered lately did not crash an upstream.
std::size_t suspect_table::count(const record& of)
{
    return static_cast<std::size_t>(std::count_if(
        of.crashes.begin(), of.crashes.end(), [&](const auto& one) {
            return !of.cleared_at || one.second > *of.cleared_at + answer_holds;
        }));
}

base::instant suspect_table::last_crash(const record& of)
{
    base::instant last;
    for (const auto& [upstream, at] : of.crashes)
        last = std::max(last, at);
    return last;
}

// Entries begin one after the other, within a second pause.
base::instant suspect_table::trial_from(const base::request_digest& request,
                                        const record& of) const
{
    constexpr std::int64_t parts = 1024;
    const auto lot = static_cast<std::int64_t>(
        placement::mix(this->salt, request.low) % parts);
    const base::duration pause = pause_after(count(of));
    return last_crash(of) + pause + pause / parts * lot;
}

standing suspect_table::standing_of(const base::request_digest& request,
                                    const record& of,
                                    base::instant now) const
{
    const std::size_t crashes = count(of);
    if (crashes == 0)
        return standing::clear;
    if (crashes < crashes_allowed)
        return standing::suspected;
    const bool trying =
        of.trial_at &&
        now<*of.trial_at + trial_takes&& * of.trial_at> last_crash(of);
    if (trying || now < this->trial_from(request, of))
        return standing::quarantined;
    return standing::trial_due;
}

standing suspect_table::standing_of(const base::request_digest& request,
                                    base::instant now) const
{
    const auto found = this->records.find(request);
    return found == this->records.end()
               ? standing::clear
               : this->standing_of(request, found->second, now);
}

base::duration suspect_table::pause_left(const base::request_digest& request,
                                         base::instant now) const
{
    const auto found = this->records.find(request);
    if (found == this->records.end() ||
        this->standing_of(request, found->second, now) != standing::quarantined)
        return base::duration(0);
    const base::duration left = this->trial_from(request, found->second) - now;
    return std::max(left, trial_takes);
}

std::optional<standing_change>
suspect_table::change(const base::request_digest& request,
                      const record& of,
                      standing before,
                      base::instant now) const
{
    const standing after = this->standing_of(request, of, now);
    if (after == before)
        return std::nullopt;
    return standing_change{request, of.workspace, after, count(of)};
}

// ---- What this entry sees ---------------------------------------------------

std::optional<standing_change>
suspect_table::crashed(const base::request_digest& request,
                       base::workspace_id workspace,
                       base::upstream_id upstream,
                       base::instant now)
{
    if (this->was_answered(request, now))
        return std::nullopt;
    record& own = this->find_or_add(request, workspace);
    const standing before = this->standing_of(request, own, now);
    this->note_crash(own, upstream, now, now);
    return this->change(request, own, before, now);
}

void suspect_table::note_crash(record& own,
                               base::upstream_id upstream,
                               base::instant at,
                               base::instant now)
{
    if (!own.crashes.try_emplace(upstream, at).second)
        return;
    own.changed_at = now;
    base::instant& dead = this->presumed_dead[upstream];
    dead = std::max(dead, at);
    if (own.crashes.size() <= crashes_kept)
        return;
    own.crashes.erase(std::min_element(
        own.crashes.begin(),
        own.crashes.end(),
        [](const auto& a, const auto& b) { return a.second < b.second; }));
}

std::optional<standing_change>
suspect_table::cleared(const base::request_digest& request, base::instant now)
{
    this->remember_answer(request, now);
    const auto found = this->records.find(request);
    if (found == this->records.end())
        return std::nullopt;
    record& own = found->second;
    const standing before = this->standing_of(request, own, now);
    raise(own.cleared_at, now);
    if (before != standing::clear)
        own.changed_at = now;
    return this->change(request, own, before, now);
}

void suspect_table::remember_answer(const base::request_digest& request,
                                    base::instant now)
{
    this->answered_at[request] = now;
    this->answers.emplace_back(request, now);
    if (this->answers.size() <= answers_kept)
        return;
    const auto& [oldest, at] = this->answers.front();
    const auto found = this->answered_at.find(oldest);
    if (found != this->answered_at.end() && found->second == at)
        this->answered_at.erase(found);
    this->answers.pop_front();
}

bool suspect_table::was_answered(const base::request_digest& request,
                                 base::instant at) const
{
    const auto found = this->answered_at.find(request);
    return found != this->answered_at.end() &&
           at <= found->second + answer_holds;
}

void suspect_table::sent(const base::request_digest& request, base::instant now)
{
    const auto found = this->records.find(request);
    if (found == this->records.end() ||
        this->standing_of(request, found->second, now) != standing::trial_due)
        return;
    found->second.trial_at = now;
    found->second.changed_at = now;
}

// Its connections were reset, no more.
void suspect_table::upstream_lives(base::upstream_id upstream,
                                   base::instant now)
{
    const auto dead = this->presumed_dead.find(upstream);
    if (dead == this->presumed_dead.end() || now < dead->second + read_late)
        return;
    this->presumed_dead.erase(dead);
    this->found_alive[upstream] = now;
    for (auto& [request, own] : this->records)
        own.crashes.erase(upstream);
}

// ---- What peers see ---------------------------------------------------------

suspect_report suspect_table::report_of(const base::request_digest& request,
                                        const record& of,
                                        base::instant now)
{
    suspect_report out{request, of.workspace, {}, {}, {}};
    for (const auto& [upstream, at] : of.crashes)
        out.crashes.push_back({upstream, now - at});
    if (of.cleared_at)
        out.cleared_age = now - *of.cleared_at;
    if (of.trial_at)
        out.trial_age = now - *of.trial_at;
    return out;
}

std::vector<suspect_report> suspect_table::reports(base::instant now, bool rest)
{
    std::vector<suspect_report> out;
    for (const auto& [request, own] : this->records) {
        if (out.size() < fresh_told && now - own.changed_at < told_for)
            out.push_back(report_of(request, own, now));
    }
    if (!rest)
        return out;
    this->add_by_turns(
        now, true, quarantined_by_turns, this->told_quarantined, out);
    this->add_by_turns(now, false, others_by_turns, this->told_others, out);
    return out;
}

void suspect_table::add_by_turns(base::instant now,
                                 bool wanted_quarantined,
                                 std::size_t most,
                                 base::request_digest& last,
                                 std::vector<suspect_report>& out) const
{
    auto next = this->records.upper_bound(last);
    for (std::size_t seen = 0; seen < this->records.size() && most > 0;
         ++seen, ++next) {
        if (next == this->records.end())
            next = this->records.begin();
        const bool fresh = now - next->second.changed_at < told_for;
        const bool is_quarantined = count(next->second) >= crashes_allowed;
        if (fresh || is_quarantined != wanted_quarantined)
            continue;
        out.push_back(report_of(next->first, next->second, now));
        last = next->first;
        most -= 1;
    }
}

std::vector<standing_change>
suspect_table::merge(std::span<const suspect_report> told, base::instant now)
{
    std::vector<standing_change> out;
    for (const suspect_report& one : told) {
        if (!this->has_room_for(one))
            continue;
        record& own = this->find_or_add(one.request, one.workspace);
        const standing before = this->standing_of(one.request, own, now);
        if (this->merge_one(own, one, now))
            own.changed_at = now;
        if (const auto changed = this->change(one.request, own, before, now))
            out.push_back(*changed);
    }
    return out;
}

// In a full table what a peer repeats of single crashes would only replace one
// another.
bool suspect_table::has_room_for(const suspect_report& told) const
{
    if (told.crashes.size() >= crashes_allowed ||
        this->records.contains(told.request))
        return true;
    const auto own = this->by_workspace.find(told.workspace);
    return this->records.size() < records_most &&
           (own == this->by_workspace.end() ||
            own->second < workspace_records_most);
}

bool suspect_table::merge_one(record& own,
                              const suspect_report& told,
                              base::instant now)
{
    const std::size_t before = own.crashes.size();
    for (const crash_sighting& one : told.crashes) {
        if (!this->found_alive.contains(one.upstream))
            this->note_crash(own, one.upstream, now - one.age, now);
    }
    bool changed = own.crashes.size() != before;
    // Ages are read a message's way later than they were written: what is later
    // by less than that is no news.
    const auto take = [&](std::optional<base::instant>& known,
                          const std::optional<base::duration>& age) {
        if (!age || (known && now - *age <= *known + told_for))
            return;
        known = now - *age;
        changed = true;
    };
    take(own.cleared_at, told.cleared_age);
    take(own.trial_at, told.trial_age);
    const auto answered = this->answered_at.find(told.request);
    if (answered != this->answered_at.end() &&
        raise(own.cleared_at, answered->second))
        changed = true;
    return changed;
}

// ---- Bounds -----------------------------------------------------------------

suspect_table::record&
suspect_table::find_or_add(const base::request_digest& request,
                           base::workspace_id workspace)
{
    const auto found = this->records.find(request);
    if (found != this->records.end())
        return found->second;
    this->make_room(workspace);
    this->by_workspace[workspace] += 1;
    record& fresh = this->records[request];
    fresh.workspace = workspace;
    return fresh;
}

void suspect_table::make_room(base::workspace_id workspace)
{
    const auto own = this->by_workspace.find(workspace);
    if (own != this->by_workspace.end() &&
        own->second >= workspace_records_most)
        return this->drop_least(workspace);
    if (this->records.size() < records_most)
        return;
    const auto largest = std::max_element(
        this->by_workspace.begin(),
        this->by_workspace.end(),
        [](const auto& a, const auto& b) { return a.second < b.second; });
    this->drop_least(largest->first);
}

// The one with the fewest crashes, the oldest of these.
void suspect_table::drop_least(base::workspace_id workspace)
{
    auto least = this->records.end();
    const auto rank = [](const record& of) {
        return std::pair(count(of), last_crash(of));
    };
    for (auto one = this->records.begin(); one != this->records.end(); ++one) {
        if (one->second.workspace == workspace &&
            (least == this->records.end() ||
             rank(one->second) < rank(least->second)))
            least = one;
    }
    if (least != this->records.end())
        this->erase(least);
}

void suspect_table::erase(record_map::iterator which)
{
    const auto owner = this->by_workspace.find(which->second.workspace);
    if (--owner->second == 0)
        this->by_workspace.erase(owner);
    this->records.erase(which);
}

void suspect_table::tick(base::instant now)
{
    if (now < this->swept_at + sweep_gap)
        return;
    this->swept_at = now;
    for (auto one = this->records.begin(); one != this->records.end();) {
        const auto next = std::next(one);
        const record& own = one->second;
        const base::duration idle =
            now - std::max(last_crash(own), own.changed_at);
        if (idle >
            (count(own) >= crashes_allowed ? quarantine_lapse : suspect_lapse))
            this->erase(one);
        one = next;
    }
    const auto old = [&](const auto& one) {
        return now - one.second > suspect_lapse;
    };
    std::erase_if(this->presumed_dead, old);
    std::erase_if(this->found_alive, old);
}

std::vector<standing_change> suspect_table::quarantined(base::instant now) const
{
    std::vector<standing_change> out;
    for (const auto& [request, own] : this->records) {
        const standing is = this->standing_of(request, own, now);
        if (count(own) >= crashes_allowed)
            out.push_back({request, own.workspace, is, count(own)});
    }
    return out;
}

} // namespace greengagedrum::quarantine
