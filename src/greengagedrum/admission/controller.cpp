#include <greengagedrum/admission/controller.hpp>

#include <algorithm>
#include <utility>
#include <vector>

namespace greengagedrum::admission
{

std::optional<base::request_id>
controller::enqueue(base::request_id request,
                    const base::request_spec& item,
                    base::duration expected,
                    bool returning,
                    base::instant now)
{
    entry fresh;
    fresh.work = item;
    fresh.expected = expected;
    fresh.returning = returning;
    fresh.place = position{item.deadline - expected, request};
    // Others of its kind that are held came first; one that was let through
    // before is back for a retry and goes past them.
    const bool others_held = this->holds.contains(limit_key_of(item)) &&
                             !this->limiter.counts(request);
    fresh.held = others_held || !this->limiter.take(request, item, now);
    this->join(fresh, now);
    this->entries.insert_or_assign(request, fresh);
    if (this->entries.size() <= this->limits.waiting_max)
        return std::nullopt;
    return this->give_up_lowest();
}

void controller::join(const entry& item, base::instant now)
{
    line& own = item.held ? this->holds[limit_key_of(item.work)]
                          : this->line_of(item.work);
    if (own.order.empty())
        own.stalled_since = now;
    own.order.insert(item.place);
    own.expected += item.expected;
}

controller::line& controller::line_of(const base::request_spec& item)
{
    return this
        ->classes[item.upstream_class][item.model][base::index_of(item.tier)];
}

const controller::lines*
controller::lane_of(const base::request_spec& item) const
{
    const auto lanes = this->classes.find(item.upstream_class);
    if (lanes == this->classes.end())
        return nullptr;
    const auto lane = lanes->second.find(item.model);
    return lane == lanes->second.end() ? nullptr : &lane->second;
}

void controller::remove(base::request_id request)
{
    const auto found = this->entries.find(request);
    if (found == this->entries.end())
        return;
    const entry& item = found->second;
    const limit_key key = limit_key_of(item.work);
    line& own = item.held ? this->holds[key] : this->line_of(item.work);
    own.order.erase(item.place);
    own.expected -= item.expected;
    if (item.held && own.order.empty())
        this->holds.erase(key);
    this->entries.erase(found);
}

void controller::forget(base::request_id request)
{
    this->remove(request);
    this->limiter.release(request);
}

std::optional<base::request_id> controller::give_up_lowest()
{
    for (std::size_t tier = base::tier_count; tier-- > 0;) {
        std::optional<position> victim;
        const auto weigh = [&](const line& own) {
            const auto last = this->most_slack(own);
            if (last && (!victim || *victim < *last))
                victim = last;
        };
        for (const auto& [id, lanes] : this->classes)
            for (const auto& [model, lane] : lanes)
                weigh(lane[tier]);
        for (const auto& [key, own] : this->holds) {
            const base::request_id first = own.order.begin()->request;
            if (base::index_of(this->entries.at(first).work.tier) == tier)
                weigh(own);
        }
        if (!victim)
            continue;
        this->remove(victim->request);
        return victim->request;
    }
    return std::nullopt;
}

std::optional<controller::position>
controller::most_slack(const line& own) const
{
    const auto last = std::find_if(
        own.order.rbegin(), own.order.rend(), [this](const position& one) {
            return !this->entries.at(one.request).returning;
        });
    return last == own.order.rend() ? std::nullopt : std::optional(*last);
}

// ---- Giving out -----------------------------------------------------------

void controller::offer(base::instant now, const placer& place)
{
    this->wake.reset();
    this->release_held(now);
    for (auto& [id, lanes] : this->classes) {
        this->offer_floor(lanes, now, place);
        this->offer_ordinary(lanes, now, place);
    }
    this->note_floors(now);
}

void controller::release_held(base::instant now)
{
    for (auto own = this->holds.begin(); own != this->holds.end();) {
        line& held = own->second;
        while (!held.order.empty()) {
            const base::request_id first = held.order.begin()->request;
            entry& item = this->entries.at(first);
            if (!this->limiter.take(first, item.work, now))
                break;
            held.order.erase(held.order.begin());
            held.expected -= item.expected;
            item.held = false;
            this->join(item, now);
        }
        if (const auto refill = this->limiter.refill(own->first, now);
            refill && !held.order.empty())
            this->note_wake(now, now + *refill);
        own = held.order.empty() ? this->holds.erase(own) : std::next(own);
    }
}

// Whoever has been due for longest goes first, else the line of a higher tier
// would take the floor of a lower one time after time.
void controller::offer_floor(lanes& own, base::instant now, const placer& place)
{
    std::vector<std::pair<base::instant, line*>> due;
    for (auto& [model, lane] : own) {
        for (std::size_t tier = 0; tier < base::tier_count; ++tier) {
            const base::instant since =
                lane[tier].stalled_since + this->limits.floor_age[tier];
            if (!lane[tier].order.empty() && since <= now)
                due.emplace_back(since, &lane[tier]);
        }
    }
    std::stable_sort(
        due.begin(), due.end(), [](const auto& left, const auto& right) {
            return left.first < right.first;
        });
    for (const auto& [since, each] : due)
        this->offer_first(*each, now, place, grant::floor);
}

// Tier by tier over all lanes of the class, for lanes of different models may
// share upstreams. A lane whose higher tier found no room gives its lower
// tiers none.
void controller::offer_ordinary(lanes& own,
                                base::instant now,
                                const placer& place)
{
    std::set<base::model_id> blocked;
    for (std::size_t tier = 0; tier < base::tier_count; ++tier) {
        for (auto& [model, lane] : own) {
            if (blocked.contains(model))
                continue;
            while (!lane[tier].order.empty()) {
                if (this->offer_first(lane[tier], now, place, grant::ordinary))
                    continue;
                blocked.insert(model);
                break;
            }
        }
    }
}

bool controller::offer_first(line& own,
                             base::instant now,
                             const placer& place,
                             grant how)
{
    const base::request_id first = own.order.begin()->request;
    // `place` may put other requests in line, so nothing is held across it.
    const base::request_spec item = this->entries.at(first).work;
    if (!place(first, item, how))
        return false;
    this->remove(first);
    own.stalled_since = now;
    return true;
}

void controller::note_wake(base::instant now, base::instant at)
{
    if (at > now)
        this->wake = this->wake ? std::min(*this->wake, at) : at;
}

void controller::note_floors(base::instant now)
{
    for (const auto& [id, lanes] : this->classes)
        for (const auto& [model, lane] : lanes)
            for (std::size_t tier = 0; tier < base::tier_count; ++tier)
                if (!lane[tier].order.empty())
                    this->note_wake(now,
                                    lane[tier].stalled_since +
                                        this->limits.floor_age[tier]);
}

// ---- What waits -----------------------------------------------------------

base::duration
controller::run_time_ahead_of(const base::request_spec& item) const
{
    base::duration out{0};
    const lines* lane = this->lane_of(item);
    if (lane == nullptr)
        return out;
    for (std::size_t tier = 0; tier <= base::index_of(item.tier); ++tier)
        out += (*lane)[tier].expected;
    return out;
}

bool controller::has_lower_tier_waiting(const base::request_spec& item) const
{
    const lines* lane = this->lane_of(item);
    if (lane == nullptr)
        return false;
    return std::any_of(
        lane->begin() + 1 +
            static_cast<std::ptrdiff_t>(base::index_of(item.tier)),
        lane->end(),
        [](const line& own) { return !own.order.empty(); });
}

bool controller::is_held(base::request_id request) const
{
    const auto found = this->entries.find(request);
    return found != this->entries.end() && found->second.held;
}

base::duration controller::limit_hold_time(const base::request_spec& item,
                                           base::duration expected,
                                           base::instant now) const
{
    const limit_key key = limit_key_of(item);
    const auto found = this->holds.find(key);
    const limit* bound = this->limiter.find(key);
    if (bound == nullptr)
        return base::duration{0};
    const base::duration before =
        found == this->holds.end() ? expected : found->second.expected;
    base::duration out =
        this->limiter.refill(key, now).value_or(base::duration{0});
    if (bound->max_in_flight > 0)
        out = std::max(out, before / bound->max_in_flight);
    return out;
}

std::uint32_t controller::held_count(const limit_key& key) const
{
    const auto found = this->holds.find(key);
    if (found == this->holds.end())
        return 0;
    return static_cast<std::uint32_t>(found->second.order.size());
}

std::array<std::uint32_t, base::tier_count>
controller::waiting_by_tier(base::upstream_class_id upstream_class) const
{
    std::array<std::uint32_t, base::tier_count> out{};
    const auto found = this->classes.find(upstream_class);
    if (found == this->classes.end())
        return out;
    for (const auto& [model, lane] : found->second)
        for (std::size_t tier = 0; tier < base::tier_count; ++tier)
            out[tier] += static_cast<std::uint32_t>(lane[tier].order.size());
    return out;
}

} // namespace greengagedrum::admission
