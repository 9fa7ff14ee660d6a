// Fault injection of the simulated fleet: partitions, restarts, kills and
// freezes.
#include <greengagedrum/entry/fleet_test/virtual_fleet.hpp>

#include <algorithm>

namespace greengagedrum::entry::fleet_test
{

namespace
{

using namespace std::chrono_literals;

constexpr base::duration stop_duration = 3s;
constexpr base::duration start_duration = 600ms;
constexpr double strong_link = 25e6; // bytes per second

} // namespace

bool virtual_fleet::is_partitioned(gossip::ipv4_address from,
                                   gossip::ipv4_address to) const
{
    const double at = this->seconds();
    if (at >= this->plan.regions_apart_from &&
        at < this->plan.regions_apart_from + this->plan.regions_apart_for &&
        this->region_of(from) != this->region_of(to))
        return true;
    if (at < this->plan.cut_from ||
        at >= this->plan.cut_from + this->plan.cut_for)
        return false;
    return this->is_behind_partition(from - first_address) !=
           this->is_behind_partition(to - first_address);
}

void virtual_fleet::stop_process(std::size_t number)
{
    if (!this->nodes[number])
        return;
    this->owner_hooks.before_stop(*this->nodes[number]);
    this->links.drop(this->nodes[number]->address);
    this->nodes[number].reset();
    this->restart_at[number] = this->now + start_duration;
}

void virtual_fleet::kill(std::size_t number, base::duration down_for)
{
    this->stop_process(number);
    this->restart_at[number] = this->now + down_for;
}

void virtual_fleet::restart_due_entries()
{
    for (std::size_t number = 0; number < this->nodes.size(); ++number) {
        std::unique_ptr<node>& one = this->nodes[number];
        if (!one && this->now >= this->restart_at[number])
            this->start(number);
        if (one && one->state.stopping &&
            this->now - one->stopped_at >= stop_duration) {
            this->stop_process(number);
        }
    }
    if (this->plan.restart_gap.count() == 0 ||
        this->next_restart >= this->nodes.size())
        return;
    const double due =
        this->plan.restarts_from +
        static_cast<double>(this->next_restart) *
            std::chrono::duration<double>(this->plan.restart_gap).count();
    if (this->seconds() < due)
        return;
    this->begin_stop(this->next_restart++);
}

void virtual_fleet::begin_stop(std::size_t number)
{
    node* stopped = this->nodes[number].get();
    if (stopped == nullptr)
        return;
    stopped->state.stopping = true;
    stopped->stopped_at = this->now;
    stopped->protocol->begin_stop();
}

void virtual_fleet::inject_due_faults()
{
    const auto each_dispatcher = [this](const auto& what) {
        for (std::size_t number = 0; number < this->nodes.size(); ++number) {
            if (this->nodes[number] && !this->nodes[number]->state.delegating)
                what(number);
        }
    };
    if (this->next_killed < this->plan.killed_at.size() &&
        this->seconds() >= this->plan.killed_at[this->next_killed]) {
        this->next_killed += 1;
        each_dispatcher(
            [this](std::size_t number) { this->stop_process(number); });
    }
    if (this->next_frozen < this->plan.frozen_at.size() &&
        this->seconds() >= this->plan.frozen_at[this->next_frozen]) {
        this->next_frozen += 1;
        each_dispatcher([this](std::size_t number) {
            this->nodes[number]->frozen_until =
                this->now + base::duration(static_cast<std::int64_t>(
                                this->plan.frozen_for * 1e6));
        });
    }
    if (this->seconds() >= this->plan.shrinks_at) {
        for (std::size_t number = this->plan.remaining_entries;
             number < this->nodes.size();
             ++number) {
            this->stop_process(number);
            this->restart_at[number] = base::instant::max();
        }
    }
    if (!this->all_killed && this->seconds() >= this->plan.all_killed_at) {
        this->all_killed = true;
        for (std::size_t number = 0; number < this->nodes.size(); ++number)
            this->stop_process(number);
    }
}

void virtual_fleet::inject_strong_entry_faults()
{
    const strong_entry_plan& faults = this->plan.strong_entries;
    if (!faults.present)
        return;
    const bool lose = faults.fault == strong_entry_fault::lost &&
                      !this->strong_lost && this->seconds() >= faults.from;
    for (std::size_t number = 0; this->strong_faults.is_strong(number);
         ++number) {
        this->links.set_capacity(
            first_address + static_cast<gossip::ipv4_address>(number),
            strong_link *
                this->strong_faults.link_share(number, this->seconds()));
        if (!lose)
            continue;
        this->strong_lost = true;
        this->stop_process(number);
        this->restart_at[number] =
            this->started_at +
            base::duration(static_cast<std::int64_t>(faults.until * 1e6));
    }
}

} // namespace greengagedrum::entry::fleet_test
