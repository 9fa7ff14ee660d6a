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
                    bool dispatched_before,
                    base::instant now)
{
    entry added;
    added.work = item;
    added.expected = expected;
    added.dispatched_before = dispatched_before;
    added.position = queue_position{item.deadline - expected, request};
    // Requests of the same limit that are already held go first. A request that
    // was admitted by the limiter before returns for a retry and passes them.
    const bool others_held = this->held_queues.contains(limit_key_of(item)) &&
                             !this->limiter.is_counted(request);
    added.held = others_held || !this->limiter.try_acquire(request, item, now);
    this->insert(added, now);
    this->entries.insert_or_assign(request, added);
    if (this->entries.size() <= this->limits.waiting_max)
        return std::nullopt;
    return this->evict_lowest();
}

void controller::insert(const entry& item, base::instant now)
{
    queue& waiting = item.held ? this->held_queues[limit_key_of(item.work)]
                               : this->queue_of(item.work);
    if (waiting.order.empty())
        waiting.stalled_since = now;
    waiting.order.insert(item.position);
    waiting.expected += item.expected;
}

controller::queue& controller::queue_of(const base::request_spec& item)
{
    return this
        ->classes[item.upstream_class][item.model][base::index_of(item.tier)];
}

const controller::tier_queues*
controller::tier_queues_of(const base::request_spec& item) const
{
    const auto model_queues = this->classes.find(item.upstream_class);
    if (model_queues == this->classes.end())
        return nullptr;
    const auto queues = model_queues->second.find(item.model);
    return queues == model_queues->second.end() ? nullptr : &queues->second;
}

void controller::remove(base::request_id request)
{
    const auto found = this->entries.find(request);
    if (found == this->entries.end())
        return;
    const entry& item = found->second;
    const limit_key key = limit_key_of(item.work);
    queue& waiting =
        item.held ? this->held_queues[key] : this->queue_of(item.work);
    waiting.order.erase(item.position);
    waiting.expected -= item.expected;
    if (item.held && waiting.order.empty())
        this->held_queues.erase(key);
    this->entries.erase(found);
}

void controller::forget(base::request_id request)
{
    this->remove(request);
    this->limiter.release(request);
}

std::optional<base::request_id> controller::evict_lowest()
{
    for (std::size_t tier = base::tier_count; tier-- > 0;) {
        std::optional<queue_position> evicted;
        const auto consider = [&](const queue& waiting) {
            const auto last = this->evictable_entry(waiting);
            if (last && (!evicted || *evicted < *last))
                evicted = last;
        };
        for (const auto& [id, model_queues] : this->classes)
            for (const auto& [model, queues] : model_queues)
                consider(queues[tier]);
        for (const auto& [key, waiting] : this->held_queues) {
            const base::request_id first = waiting.order.begin()->request;
            if (base::index_of(this->entries.at(first).work.tier) == tier)
                consider(waiting);
        }
        if (!evicted)
            continue;
        this->remove(evicted->request);
        return evicted->request;
    }
    return std::nullopt;
}

std::optional<controller::queue_position>
controller::evictable_entry(const queue& waiting) const
{
    const auto last = std::find_if(
        waiting.order.rbegin(),
        waiting.order.rend(),
        [this](const queue_position& one) {
            return !this->entries.at(one.request).dispatched_before;
        });
    return last == waiting.order.rend() ? std::nullopt : std::optional(*last);
}

void controller::offer(base::instant now, const dispatch_callback& try_dispatch)
{
    this->wake_at.reset();
    this->release_held_queues(now);
    for (auto& [id, model_queues] : this->classes) {
        this->offer_floor(model_queues, now, try_dispatch);
        this->offer_ordinary(model_queues, now, try_dispatch);
    }
    this->schedule_floor_wakes(now);
}

void controller::release_held_queues(base::instant now)
{
    for (auto position = this->held_queues.begin();
         position != this->held_queues.end();) {
        queue& held = position->second;
        while (!held.order.empty()) {
            const base::request_id first = held.order.begin()->request;
            entry& item = this->entries.at(first);
            if (!this->limiter.try_acquire(first, item.work, now))
                break;
            held.order.erase(held.order.begin());
            held.expected -= item.expected;
            item.held = false;
            this->insert(item, now);
        }
        if (const auto refill = this->limiter.refill(position->first, now);
            refill && !held.order.empty())
            this->schedule_wake(now, now + *refill);
        position = held.order.empty() ? this->held_queues.erase(position)
                                      : std::next(position);
    }
}

// The queue that has been due for longest goes first; otherwise the queue of a
// higher tier would repeatedly take the floor grant of a lower one.
void controller::offer_floor(model_queues& queues_by_model,
                             base::instant now,
                             const dispatch_callback& try_dispatch)
{
    std::vector<std::pair<base::instant, queue*>> due;
    for (auto& [model, queues] : queues_by_model) {
        for (std::size_t tier = 0; tier < base::tier_count; ++tier) {
            const base::instant since =
                queues[tier].stalled_since + this->limits.floor_age[tier];
            if (!queues[tier].order.empty() && since <= now)
                due.emplace_back(since, &queues[tier]);
        }
    }
    std::stable_sort(
        due.begin(), due.end(), [](const auto& left, const auto& right) {
            return left.first < right.first;
        });
    for (const auto& [since, each] : due)
        this->offer_first(*each, now, try_dispatch, grant::floor);
}

// Goes tier by tier over all models of the class, because different models may
// share upstreams. When a tier of a model finds no free slot, the lower tiers
// of that model are not offered.
void controller::offer_ordinary(model_queues& queues_by_model,
                                base::instant now,
                                const dispatch_callback& try_dispatch)
{
    std::set<base::model_id> blocked;
    for (std::size_t tier = 0; tier < base::tier_count; ++tier) {
        for (auto& [model, queues] : queues_by_model) {
            if (blocked.contains(model))
                continue;
            while (!queues[tier].order.empty()) {
                if (this->offer_first(
                        queues[tier], now, try_dispatch, grant::ordinary))
                    continue;
                blocked.insert(model);
                break;
            }
        }
    }
}

bool controller::offer_first(queue& waiting,
                             base::instant now,
                             const dispatch_callback& try_dispatch,
                             grant how)
{
    const base::request_id first = waiting.order.begin()->request;
    // `try_dispatch` may queue other requests, so no reference into the entries
    // is kept across the call.
    const base::request_spec item = this->entries.at(first).work;
    if (!try_dispatch(first, item, how))
        return false;
    this->remove(first);
    waiting.stalled_since = now;
    return true;
}

void controller::schedule_wake(base::instant now, base::instant at)
{
    if (at > now)
        this->wake_at = this->wake_at ? std::min(*this->wake_at, at) : at;
}

void controller::schedule_floor_wakes(base::instant now)
{
    for (const auto& [id, model_queues] : this->classes)
        for (const auto& [model, queues] : model_queues)
            for (std::size_t tier = 0; tier < base::tier_count; ++tier)
                if (!queues[tier].order.empty())
                    this->schedule_wake(now,
                                        queues[tier].stalled_since +
                                            this->limits.floor_age[tier]);
}

base::duration
controller::run_time_ahead_of(const base::request_spec& item) const
{
    base::duration out{0};
    const tier_queues* queues = this->tier_queues_of(item);
    if (queues == nullptr)
        return out;
    for (std::size_t tier = 0; tier <= base::index_of(item.tier); ++tier)
        out += (*queues)[tier].expected;
    return out;
}

bool controller::has_lower_tier_waiting(const base::request_spec& item) const
{
    const tier_queues* queues = this->tier_queues_of(item);
    if (queues == nullptr)
        return false;
    return std::any_of(
        queues->begin() + 1 +
            static_cast<std::ptrdiff_t>(base::index_of(item.tier)),
        queues->end(),
        [](const queue& waiting) { return !waiting.order.empty(); });
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
    const auto found = this->held_queues.find(key);
    const limit* bound = this->limiter.find(key);
    if (bound == nullptr)
        return base::duration{0};
    const base::duration before =
        found == this->held_queues.end() ? expected : found->second.expected;
    base::duration out =
        this->limiter.refill(key, now).value_or(base::duration{0});
    if (bound->max_in_flight > 0)
        out = std::max(out, before / bound->max_in_flight);
    return out;
}

std::uint32_t controller::held_count(const limit_key& key) const
{
    const auto found = this->held_queues.find(key);
    if (found == this->held_queues.end())
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
    for (const auto& [model, queues] : found->second)
        for (std::size_t tier = 0; tier < base::tier_count; ++tier)
            out[tier] += static_cast<std::uint32_t>(queues[tier].order.size());
    return out;
}

} // namespace greengagedrum::admission
