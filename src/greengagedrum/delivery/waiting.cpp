// Queued requests: dispatch to free slots, overdraft, and shedding of requests
// whose deadline can't be met.
#include <greengagedrum/admission/invariant.hpp>
#include <greengagedrum/delivery/scheduler.hpp>

#include <algorithm>
#include <utility>

namespace greengagedrum::delivery
{

namespace
{

constexpr base::duration retry_after_min = std::chrono::milliseconds(100);
constexpr base::duration retry_after_max = std::chrono::minutes(5);

base::duration scaled(base::duration duration, double factor)
{
    const double ticks = static_cast<double>(duration.count()) * factor;
    return base::duration(static_cast<base::duration::rep>(ticks));
}

// The number of requests up to which this instance may fill an upstream with
// an overdraft of `share` of its allowance; at least one more than the
// allowance when `share` is positive.
std::uint32_t overdraft_limit(const placement::room& room, double share)
{
    if (share <= 0)
        return room.allowance;
    const auto extra =
        static_cast<std::uint32_t>(static_cast<double>(room.allowance) * share);
    return room.allowance + std::max<std::uint32_t>(1, extra);
}

// True when this instance uses a smaller fraction of the limit of `left`.
bool less_loaded(const placement::room& left, const placement::room& right)
{
    const std::uint64_t left_load = std::uint64_t{left.in_flight} * right.limit;
    const std::uint64_t right_load =
        std::uint64_t{right.in_flight} * left.limit;
    return left_load < right_load;
}

} // namespace

void scheduler::dispatch_queued()
{
    this->admission.offer(this->now,
                          [this](base::request_id id,
                                 const base::request_spec& item,
                                 admission::grant how) {
                              return this->try_dispatch(id, item, how);
                          });
}

void scheduler::enqueue(request& item)
{
    item.phase = phase::queued;
    const base::duration expected =
        this->estimator.expected_run_time(item.spec);
    const base::duration run =
        scaled(expected, this->options.admission.shed_estimate_factor);
    this->timers.set(item, std::max(this->now, item.spec.deadline - run));
    const bool fresh = item.dispatches == 0 && item.connect_refusals == 0 &&
                       item.preemptions == 0 && !item.may_have_run;
    if (fresh && !this->can_meet_deadline(item, expected))
        return this->add_shed_candidate(item, base::reason::deadline);
    const auto victim = this->admission.enqueue(
        item.id, item.spec, expected, !fresh, this->now);
    const bool itself = victim && *victim == item.id;
    if (victim)
        this->add_shed_candidate(this->requests.at(*victim),
                                 base::reason::overloaded);
    if (itself || !fresh || !this->admission.is_held(item.id))
        return;
    const base::duration held =
        this->admission.limit_hold_time(item.spec, expected, this->now);
    const base::duration needed =
        scaled(held + expected, this->options.admission.shed_estimate_factor);
    if (this->now + needed > item.spec.deadline)
        this->end_with_verdict(
            item,
            base::not_run(base::reason::limit_reached,
                          std::clamp(held, retry_after_min, retry_after_max)));
}

bool scheduler::try_dispatch(base::request_id id,
                             const base::request_spec& work,
                             admission::grant how)
{
    request& item = this->requests.at(id);
    if (!this->check_grant(item))
        return true;
    if (how == admission::grant::floor)
        return this->dispatch_within_floor(item);
    if (this->dispatch_to_free_slot(item))
        return true;
    return work.tier == base::tier::urgent && this->make_room(item);
}

// Dispatches to an upstream that has a free slot and no higher tier in distress
// there.
bool scheduler::dispatch_to_free_slot(request& item)
{
    std::vector<base::upstream_id> avoid = item.avoided_upstreams;
    for (const placement::room& room : this->planner.rooms(item.spec))
        if (this->distress.is_higher_tier_marked(
                room.upstream, item.spec.tier, this->now))
            avoid.push_back(room.upstream);
    const auto choice = this->planner.choose(item.spec, avoid, this->now);
    if (!choice || this->distress.is_higher_tier_marked(
                       choice->upstream, item.spec.tier, this->now))
        return false;
    this->dispatch(item, choice->upstream);
    return true;
}

// A queue that got no slot for long gets one even when the higher tiers use
// them all, up to `floor_share` of the slots.
//
// This prevents starvation: under a continuous burst of urgent requests, bulk
// requests would be queued until their deadline. As the floor counts concurrent
// slots, it takes no more than that share of the upstreams' speed from the
// higher tiers, however long the requests run.
bool scheduler::dispatch_within_floor(request& item)
{
    const auto rooms = this->planner.rooms(item.spec);
    // The tiers up to this one share one floor. Three tiers with a floor each
    // would permanently fill the overdraft of a small upstream.
    std::uint32_t held = 0;
    for (const base::tier tier : base::all_tiers)
        if (!base::more_urgent(tier, item.spec.tier))
            held +=
                this->running_requests.count(item.spec.upstream_class, tier);
    if (held >= this->floor_slots(rooms))
        return false;
    return this->dispatch_to_free_slot(item) ||
           this->overdraw(item, rooms, this->options.admission.overdraft_share);
}

std::uint32_t scheduler::floor_slots(rooms_view rooms) const
{
    std::uint32_t slots = 0;
    for (const placement::room& room : rooms)
        slots += room.allowance;
    const double part = this->options.admission.floor_share;
    return std::max<std::uint32_t>(
        1, static_cast<std::uint32_t>(static_cast<double>(slots) * part));
}

// An urgent request does not wait behind running requests of lower tiers: it
// uses the overdraft. When its tier is in distress, it also preempts a lower
// request; waiting for the last moment before its deadline would be too late
// for many requests. When only urgent requests run, it stays queued, as they
// are all equal.
bool scheduler::make_room(request& item)
{
    const auto rooms = this->planner.rooms(item.spec);
    const bool lower_here = this->lower_tier_runs_here(item.spec, rooms);
    if (!lower_here && !this->lower_runs_at_peers(item.spec))
        return false;
    if (this->overdraw(item, rooms, this->options.admission.overdraft_share))
        return true;
    const bool at_risk = std::any_of(
        rooms.begin(), rooms.end(), [&](const placement::room& room) {
            return this->distress.is_marked(
                room.upstream, item.spec.tier, this->now);
        });
    return at_risk && this->preempt_lower_tier(item, rooms);
}

// Dispatches beyond an upstream's allowance. Continuous batching permits this
// and slows down the other requests of the batch somewhat. Until the upstream
// is below its allowance again, it gets no request of a lower tier, which
// repays the overdraft.
bool scheduler::overdraw(request& item, rooms_view rooms, double share)
{
    const placement::room* best = nullptr;
    bool best_avoided = true;
    for (const placement::room& room : rooms) {
        if (room.in_flight >= overdraft_limit(room, share) ||
            this->distress.is_higher_tier_marked(
                room.upstream, item.spec.tier, this->now))
            continue;
        const bool avoided =
            std::find(item.avoided_upstreams.begin(),
                      item.avoided_upstreams.end(),
                      room.upstream) != item.avoided_upstreams.end();
        const bool better =
            best == nullptr || (best_avoided && !avoided) ||
            (best_avoided == avoided && less_loaded(room, *best));
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

bool scheduler::lower_tier_runs_here(const base::request_spec& item,
                                     rooms_view rooms) const
{
    const std::uint32_t factor = this->options.admission.hard_factor;
    return std::any_of(
        rooms.begin(), rooms.end(), [&](const placement::room& room) {
            return room.in_flight <
                       admission::in_flight_ceiling(room, factor) &&
                   this->running_requests.has_lower_tier_on(room.upstream,
                                                            item.tier);
        });
}

// Without this check, urgent requests would be shed at one entry while requests
// of lower tiers of another entry fill the upstream. A peer's report is at most
// a few heartbeats old (shares::fresh_view) and names only the upstream class,
// so nothing is cancelled because of it: it only admits a request up to the
// hard bound.
bool scheduler::lower_runs_at_peers(const base::request_spec& item) const
{
    return this->shares.peers_run_lower_tier(
        item.upstream_class, item.tier, this->now);
}

// The last resort before a request is shed while lower tiers run: dispatches it
// to the least loaded upstream regardless of the overdraft, up to the hard
// bound.
bool scheduler::force_dispatch(request& item)
{
    const auto rooms = this->planner.rooms(item.spec);
    if (!this->lower_tier_runs_here(item.spec, rooms) &&
        !this->lower_runs_at_peers(item.spec))
        return false;
    const double share = this->options.admission.overdraft_share;
    if (this->overdraw(item, rooms, share) ||
        this->preempt_lower_tier(item, rooms))
        return true;
    const placement::room* best = nullptr;
    for (const placement::room& room : rooms) {
        const std::uint32_t bound = admission::in_flight_ceiling(
            room, this->options.admission.hard_factor);
        if (room.in_flight < bound &&
            (best == nullptr || less_loaded(room, *best)))
            best = &room;
    }
    if (best == nullptr)
        return false;
    this->count.forced += 1;
    this->dispatch(item, best->upstream);
    return true;
}

// The latest start with which the request could meet its deadline has passed.
void scheduler::on_queue_timeout(request& item)
{
    if (this->admission.is_held(item.id)) {
        const base::duration held = this->admission.limit_hold_time(
            item.spec, this->estimator.expected_run_time(item.spec), this->now);
        return this->end_with_verdict(
            item,
            base::not_run(base::reason::limit_reached,
                          std::clamp(held, retry_after_min, retry_after_max)));
    }
    if (item.connect_refusals > 0)
        return this->end_with_verdict(
            item,
            base::not_run(base::reason::upstream_failed,
                          this->retry_after_for(item.spec)));
    this->add_shed_candidate(item, base::reason::deadline);
}

// Whether the request is shed is decided at the end of the step, as the same
// step may still free a slot or dispatch a request of a lower tier.
void scheduler::add_shed_candidate(const request& item, base::reason why)
{
    this->shed_candidates.push_back({item.id, why});
}

// Requests are shed only after no further one can be dispatched by force: a
// request dispatched by force may itself be of a lower tier than another
// candidate, which then must not be shed.
void scheduler::force_or_shed_candidates()
{
    bool progressed = true;
    while (progressed) {
        progressed = false;
        const auto round = std::exchange(this->shed_candidates, {});
        for (const auto& [id, why] : round) {
            const auto found = this->requests.find(id);
            if (found == this->requests.end() ||
                found->second.phase != phase::queued)
                continue;
            this->mark_distress(found->second.spec);
            if (!this->check_grant(found->second) ||
                this->force_dispatch(found->second)) {
                this->admission.remove(id);
                progressed = true;
            } else {
                this->shed_candidates.emplace_back(id, why);
            }
        }
    }
    for (const auto& [id, why] : std::exchange(this->shed_candidates, {})) {
        // A request is listed twice when it timed out and was evicted from the
        // queue in the same step.
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
    const bool any = this->planner.servable(item.spec);
    if (any)
        this->count.shed[base::index_of(item.spec.tier)] += 1;
    this->end_with_verdict(item,
                           base::not_run(any ? why : base::reason::no_upstream,
                                         this->retry_after_for(item.spec)));
}

// How long the requests ahead in the queue take, given this instance's slots
// without those that lower tiers use.
base::duration scheduler::expected_wait(const base::request_spec& item) const
{
    // Usually there is no request ahead. Counting the running requests of every
    // upstream would cost more than the rest of an arrival.
    const base::duration ahead = this->admission.run_time_ahead_of(item);
    if (ahead == base::duration{0})
        return ahead;
    std::uint32_t slots = 0;
    std::uint32_t lower = 0;
    for (const placement::room& room : this->planner.rooms(item)) {
        slots += room.allowance;
        lower += static_cast<std::uint32_t>(
            this->running_requests.lower_tier_requests(room.upstream, item.tier)
                .size());
    }
    const std::uint32_t usable = slots - std::min(slots, lower);
    return ahead / std::max<std::uint32_t>(1, usable);
}

// Never false while a request of a lower tier runs or is queued: such requests
// are preempted or shed first.
bool scheduler::can_meet_deadline(const request& item, base::duration expected)
{
    const admission::options& own = this->options.admission;
    const base::duration wait = this->expected_wait(item.spec);
    if (wait == base::duration{0})
        return true;
    const base::duration left = item.spec.deadline - this->now;
    if (scaled(wait + expected, own.distress_estimate_factor) > left)
        this->mark_distress(item.spec);
    if (scaled(wait + expected, own.shed_estimate_factor) <= left)
        return true;
    return this->admission.has_lower_tier_waiting(item.spec) ||
           this->lower_tier_runs_here(item.spec,
                                      this->planner.rooms(item.spec)) ||
           this->lower_runs_at_peers(item.spec);
}

// The time after which the queue should be short enough for the same request to
// meet its deadline, between `retry_after_min` and `retry_after_max`.
base::duration scheduler::retry_after_for(const base::request_spec& item) const
{
    const base::duration wait = this->expected_wait(item);
    const base::duration needed =
        wait + this->estimator.expected_run_time(item);
    const base::duration allowed = item.deadline - item.arrived;
    return std::clamp(
        std::min(needed - allowed, wait), retry_after_min, retry_after_max);
}

} // namespace greengagedrum::delivery
