// The line before the upstreams: who is placed, who overdraws, who is told
// that its deadline can't be met.
#include <greengagedrum/admission/invariant.hpp>
#include <greengagedrum/delivery/scheduler.hpp>

#include <algorithm>
#include <utility>

namespace greengagedrum::delivery
{

namespace
{

constexpr base::duration hint_least = std::chrono::milliseconds(100);
constexpr base::duration hint_most = std::chrono::minutes(5);

base::duration part_of(base::duration whole, double part)
{
    const double ticks = static_cast<double>(whole.count()) * part;
    return base::duration(static_cast<base::duration::rep>(ticks));
}

// Places up to which an instance fills an upstream when it overdraws.
std::uint32_t overdraft_bound(const placement::room& room, double share)
{
    if (share <= 0)
        return room.allowance;
    const auto extra =
        static_cast<std::uint32_t>(static_cast<double>(room.allowance) * share);
    return room.allowance + std::max<std::uint32_t>(1, extra);
}

// Less filled by this instance, for what the upstream can hold.
bool roomier(const placement::room& left, const placement::room& right)
{
    const std::uint64_t left_load = std::uint64_t{left.in_flight} * right.limit;
    const std::uint64_t right_load =
        std::uint64_t{right.in_flight} * left.limit;
    return left_load < right_load;
}

} // namespace

void scheduler::give_out()
{
    this->admission.offer(
        this->now,
        [this](base::request_id id,
               const base::request_spec& item,
               admission::grant how) { return this->place(id, item, how); });
}

void scheduler::enqueue(request& item)
{
    item.phase = phase::queued;
    const base::duration expected =
        this->estimator.expected_run_time(item.work);
    const base::duration run =
        part_of(expected, this->options.admission.shed_estimate_factor);
    this->timers.set(item, std::max(this->now, item.work.deadline - run));
    const bool fresh = item.dispatches == 0 && item.refusals == 0 &&
                       item.preemptions == 0 && !item.may_have_run;
    if (fresh && !this->can_be_met(item, expected))
        return this->give_up(item, base::reason::deadline);
    const auto victim = this->admission.enqueue(
        item.id, item.work, expected, !fresh, this->now);
    const bool itself = victim && *victim == item.id;
    if (victim)
        this->give_up(this->requests.at(*victim), base::reason::overloaded);
    if (itself || !fresh || !this->admission.is_held(item.id))
        return;
    const base::duration held =
        this->admission.limit_hold_time(item.work, expected, this->now);
    const base::duration needed =
        part_of(held + expected, this->options.admission.shed_estimate_factor);
    if (this->now + needed > item.work.deadline)
        this->end_with(item,
                       base::not_run(base::reason::limit_reached,
                                     std::clamp(held, hint_least, hint_most)));
}

// ---- Placing --------------------------------------------------------------

bool scheduler::place(base::request_id id,
                      const base::request_spec& work,
                      admission::grant how)
{
    request& item = this->requests.at(id);
    if (!this->grant_holds(item))
        return true;
    if (how == admission::grant::floor)
        return this->place_by_floor(item);
    if (this->place_free(item))
        return true;
    return work.tier == base::tier::urgent && this->make_room(item);
}

// To an upstream with a free place and no higher tier in distress.
bool scheduler::place_free(request& item)
{
    std::vector<base::upstream_id> avoid = item.avoid;
    for (const placement::room& room : this->planner.rooms(item.work))
        if (this->distress.is_higher_tier_marked(
                room.upstream, item.work.tier, this->now))
            avoid.push_back(room.upstream);
    const auto choice = this->planner.choose(item.work, avoid, this->now);
    if (!choice || this->distress.is_higher_tier_marked(
                       choice->upstream, item.work.tier, this->now))
        return false;
    this->dispatch(item, choice->upstream);
    return true;
}

// A line that was given nothing for long takes a place even when the higher
// tiers use them all, up to its part of them.
//
// Failure guarded against: under a burst of urgent work that never ends, bulk
// work stands in line until its deadline. Because the floor is counted in
// places at once, it costs the higher tiers that part of the upstreams' speed
// and no more, however long the work is.
bool scheduler::place_by_floor(request& item)
{
    const auto rooms = this->planner.rooms(item.work);
    // Work of this tier and below together: three tiers that each held a
    // floor of their own would fill a small engine's overdraft for good.
    std::uint32_t held = 0;
    for (const base::tier tier : base::all_tiers)
        if (!base::more_urgent(tier, item.work.tier))
            held += this->run_set.count(item.work.upstream_class, tier);
    if (held >= this->floor_places(rooms))
        return false;
    return this->place_free(item) ||
           this->overdraw(item, rooms, this->options.admission.overdraft_share);
}

std::uint32_t scheduler::floor_places(rooms_view rooms) const
{
    std::uint32_t places = 0;
    for (const placement::room& room : rooms)
        places += room.allowance;
    const double part = this->options.admission.floor_share;
    return std::max<std::uint32_t>(
        1, static_cast<std::uint32_t>(static_cast<double>(places) * part));
}

// Urgent work does not wait behind lower work that runs: it overdraws, and with
// its tier in distress it takes the place of a request that may be cancelled,
// for its last chance would be too late for many. Among urgent work alone the
// line holds, for nobody's place would be unfair.
bool scheduler::make_room(request& item)
{
    const auto rooms = this->planner.rooms(item.work);
    const bool here = this->lower_runs(item.work, rooms);
    if (!here && !this->lower_runs_at_peers(item.work))
        return false;
    if (this->overdraw(item, rooms, this->options.admission.overdraft_share))
        return true;
    const bool at_risk = std::any_of(
        rooms.begin(), rooms.end(), [&](const placement::room& room) {
            return this->distress.is_marked(
                room.upstream, item.work.tier, this->now);
        });
    return at_risk && this->preempt_for(item, rooms);
}

// Continuous batching admits it, at the price of some speed for all. Nothing
// of a lower tier is placed there until the upstream is below its allowance
// again, which pays it back.
bool scheduler::overdraw(request& item, rooms_view rooms, double share)
{
    const placement::room* best = nullptr;
    bool best_avoided = true;
    for (const placement::room& room : rooms) {
        if (room.in_flight >= overdraft_bound(room, share) ||
            this->distress.is_higher_tier_marked(
                room.upstream, item.work.tier, this->now))
            continue;
        const bool avoided =
            std::find(item.avoid.begin(), item.avoid.end(), room.upstream) !=
            item.avoid.end();
        const bool better = best == nullptr || (best_avoided && !avoided) ||
                            (best_avoided == avoided && roomier(room, *best));
        if (!better)
            continue;
        best = &room;
        best_avoided = avoided;
    }
    if (best == nullptr)
        return false;
    this->count.overdrafts += 1;
    this->dispatch(item, best->upstream);
    return true;
}

bool scheduler::lower_runs(const base::request_spec& item,
                           rooms_view rooms) const
{
    const std::uint32_t factor = this->options.admission.hard_factor;
    return std::any_of(
        rooms.begin(), rooms.end(), [&](const placement::room& room) {
            return room.in_flight <
                       admission::in_flight_ceiling(room, factor) &&
                   this->run_set.has_lower_tier_on(room.upstream, item.tier);
        });
}

// The failure: pings are shed at one entry while dossiers that run at another
// hold the engine, for no request here could give way. A peer's word is a few
// heartbeats old at most (shares::fresh_view) and names the class only, so
// this never cancels anything: it lets a request in up to the hard bound.
bool scheduler::lower_runs_at_peers(const base::request_spec& item) const
{
    return this->shares.peers_run_lower_tier(
        item.upstream_class, item.tier, this->now);
}

// ---- Giving up ------------------------------------------------------------

// The last way before a request is shed while lower work runs: it goes to the
// upstream with the most room whatever its overdraft, up to the hard bound.
bool scheduler::force(request& item)
{
    const auto rooms = this->planner.rooms(item.work);
    if (!this->lower_runs(item.work, rooms) &&
        !this->lower_runs_at_peers(item.work))
        return false;
    const double share = this->options.admission.overdraft_share;
    if (this->overdraw(item, rooms, share) || this->preempt_for(item, rooms))
        return true;
    const placement::room* best = nullptr;
    for (const placement::room& room : rooms) {
        const std::uint32_t bound = admission::in_flight_ceiling(
            room, this->options.admission.hard_factor);
        if (room.in_flight < bound && (best == nullptr || roomier(room, *best)))
            best = &room;
    }
    if (best == nullptr)
        return false;
    this->count.forced += 1;
    this->dispatch(item, best->upstream);
    return true;
}

// The latest start that could still meet its deadline has passed.
void scheduler::time_in_line_over(request& item)
{
    if (this->admission.is_held(item.id)) {
        const base::duration held = this->admission.limit_hold_time(
            item.work, this->estimator.expected_run_time(item.work), this->now);
        return this->end_with(
            item,
            base::not_run(base::reason::limit_reached,
                          std::clamp(held, hint_least, hint_most)));
    }
    if (item.refusals > 0)
        return this->end_with(item,
                              base::not_run(base::reason::upstream_failed,
                                            this->hint_for(item.work)));
    this->give_up(item, base::reason::deadline);
}

// Decided at the end of the step, for the same step may yet free a place, or
// give one to lower work.
void scheduler::give_up(const request& item, base::reason why)
{
    this->given_up.push_back({item.id, why});
}

// Nobody is shed until nobody more can be forced in: one that is forced in
// may be the lower work before which a higher one must not be shed.
void scheduler::settle_given_up()
{
    bool moved = true;
    while (moved) {
        moved = false;
        const auto round = std::exchange(this->given_up, {});
        for (const auto& [id, why] : round) {
            const auto found = this->requests.find(id);
            if (found == this->requests.end() ||
                found->second.phase != phase::queued)
                continue;
            this->mark_distress(found->second.work);
            if (!this->grant_holds(found->second) ||
                this->force(found->second)) {
                this->admission.remove(id);
                moved = true;
            } else {
                this->given_up.emplace_back(id, why);
            }
        }
    }
    for (const auto& [id, why] : std::exchange(this->given_up, {})) {
        // Twice here when its time was over and its place given up as well.
        const auto found = this->requests.find(id);
        if (found != this->requests.end())
            this->shed(found->second, why);
    }
}

void scheduler::mark_distress(const base::request_spec& item)
{
    for (const placement::room& room : this->planner.rooms(item))
        this->distress.mark(room.upstream, item.tier, this->now);
}

void scheduler::shed(request& item, base::reason why)
{
    const bool any = this->planner.servable(item.work);
    if (any)
        this->count.shed[base::index_of(item.work.tier)] += 1;
    this->end_with(item,
                   base::not_run(any ? why : base::reason::no_upstream,
                                 this->hint_for(item.work)));
}

// How long the line ahead takes to drain, by this instance's places but those
// that lower work holds.
base::duration scheduler::wait_for(const base::request_spec& item) const
{
    // Nobody ahead is the usual case; counting what runs on every upstream
    // would cost more than all the rest of an arrival.
    const base::duration ahead = this->admission.run_time_ahead_of(item);
    if (ahead == base::duration{0})
        return ahead;
    std::uint32_t places = 0;
    std::uint32_t lower = 0;
    for (const placement::room& room : this->planner.rooms(item)) {
        places += room.allowance;
        lower += static_cast<std::uint32_t>(
            this->run_set.lower_tier_requests(room.upstream, item.tier).size());
    }
    const std::uint32_t own = places - std::min(places, lower);
    return ahead / std::max<std::uint32_t>(1, own);
}

// Never false while lower work runs or waits: that gives way first.
bool scheduler::can_be_met(const request& item, base::duration expected)
{
    const admission::options& own = this->options.admission;
    const base::duration wait = this->wait_for(item.work);
    if (wait == base::duration{0})
        return true;
    const base::duration left = item.work.deadline - this->now;
    if (part_of(wait + expected, own.distress_estimate_factor) > left)
        this->mark_distress(item.work);
    if (part_of(wait + expected, own.shed_estimate_factor) <= left)
        return true;
    return this->admission.has_lower_tier_waiting(item.work) ||
           this->lower_runs(item.work, this->planner.rooms(item.work)) ||
           this->lower_runs_at_peers(item.work);
}

// When the line will have become so short that the same request would meet
// its deadline.
base::duration scheduler::hint_for(const base::request_spec& item) const
{
    const base::duration wait = this->wait_for(item);
    const base::duration needed =
        wait + this->estimator.expected_run_time(item);
    const base::duration given = item.deadline - item.arrived;
    return std::clamp(std::min(needed - given, wait), hint_least, hint_most);
}

} // namespace greengagedrum::delivery
