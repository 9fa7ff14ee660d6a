#include <greengagedrum/idempotency/home_lease.hpp>

#include <algorithm>

namespace greengagedrum::idempotency
{

home_lease::home_lease(base::slot_id own,
                       lease_condition condition,
                       base::duration lease,
                       base::duration list_lag)
    : own(own), condition(condition), lease(lease),
      list_lag(condition == lease_condition::platform_list
                   ? list_lag
                   : base::duration::zero())
{
}

void home_lease::set_slots(std::span<const base::slot_id> slots)
{
    const auto holds_slot = [slots](base::slot_id slot) {
        return std::find(slots.begin(), slots.end(), slot) != slots.end();
    };
    this->published = holds_slot(this->own);
    this->others = slots.size() - (this->published ? 1 : 0);
    std::erase_if(this->peers, [&holds_slot](const auto& item) {
        return !holds_slot(item.first);
    });
    for (const base::slot_id slot : slots)
        if (slot != this->own)
            this->peers.try_emplace(slot);
}

void home_lease::heard(base::slot_id slot,
                       base::incarnation life,
                       base::instant as_of,
                       base::instant now)
{
    const auto found = this->peers.find(slot);
    if (found == this->peers.end())
        return;
    peer& item = found->second;
    if (item.life != life)
        item = peer{.life = life, .first = now, .as_of = {}};
    item.as_of = std::max(item.as_of.value_or(as_of), as_of);
    this->note(now);
}

void home_lease::listed(base::instant as_of, base::instant now)
{
    this->last_listed = std::max(this->last_listed.value_or(as_of), as_of);
    this->note(now);
}

void home_lease::lost(base::slot_id slot)
{
    const auto found = this->peers.find(slot);
    if (found != this->peers.end())
        found->second.as_of.reset();
}

// Facts from before a pause say nothing about now. `fresh` would find most of
// them stale; this also drops those of just before a short pause.
void home_lease::paused()
{
    for (auto& [slot, item] : this->peers)
        item.as_of.reset();
    this->last_listed.reset();
}

bool home_lease::fresh(const std::optional<base::instant>& as_of,
                       base::instant now) const
{
    return as_of && now - *as_of <= this->lease;
}

std::size_t home_lease::witnesses(base::instant now) const
{
    return static_cast<std::size_t>(std::count_if(
        this->peers.begin(), this->peers.end(), [this, now](const auto& item) {
            return item.second.witness && this->fresh(item.second.as_of, now);
        }));
}

bool home_lease::enough(std::size_t peers_heard) const
{
    if (this->condition == lease_condition::own_majority)
        return 2 * (peers_heard + 1) > this->others + 1;
    // A lone slot has no peer that could tell of a successor: never enough.
    return 2 * peers_heard > this->others;
}

bool home_lease::confirmed(base::instant now) const
{
    if (!this->published)
        return false;
    if (this->condition == lease_condition::platform_list)
        return this->fresh(this->last_listed, now);
    return this->enough(this->witnesses(now));
}

void home_lease::note(base::instant now)
{
    if (this->first_confirmed && this->confirmed(now))
        return this->admit(now);
    this->start_memory(now);
}

// The first time that enough peers are heard, or enough only with peers that
// are no witnesses: what was granted in this slot before is unknown.
void home_lease::start_memory(base::instant now)
{
    const auto all = static_cast<std::size_t>(std::count_if(
        this->peers.begin(), this->peers.end(), [this, now](const auto& item) {
            return this->fresh(item.second.as_of, now);
        }));
    const bool by_list = this->condition == lease_condition::platform_list;
    if (by_list ? !this->confirmed(now) || this->first_confirmed.has_value()
                : !this->published || !this->enough(all))
        return;
    this->first_confirmed = now;
    for (auto& [slot, item] : this->peers)
        item.witness = this->fresh(item.as_of, now);
}

// The lease holds by the witnesses: no successor was confirmed before a lease
// ago, so a peer heard since then can't have forgotten one.
void home_lease::admit(base::instant now)
{
    for (auto& [slot, item] : this->peers)
        if (now - item.first > this->lease && this->fresh(item.as_of, now))
            item.witness = true;
}

bool home_lease::holds(base::instant now) const
{
    return !this->replaced && this->memory_start(now) && this->confirmed(now);
}

std::optional<base::instant> home_lease::memory_start(base::instant now) const
{
    if (!this->first_confirmed)
        return std::nullopt;
    // Clocks run at rates that differ by far less than a twentieth.
    const base::instant start = *this->first_confirmed + this->lease +
                                (this->lease / 20) + this->list_lag;
    return now < start ? std::nullopt : std::optional(start);
}

} // namespace greengagedrum::idempotency
