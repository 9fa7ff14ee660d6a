// Requests that wait for a slot: how long they are expected to, and what is
// reported of them.
#include <greengagedrum/placement/seconds.hpp>
#include <greengagedrum/traffic/scheduler.hpp>

#include <algorithm>
#include <utility>

namespace greengagedrum::traffic
{

using placement::duration_of;

// The slots that this entry may count on: its even share, or what its peers
// leave free if that is more.
double scheduler::available_slots(base::upstream_class_id service) const
{
    const double all = this->pool.total_slots(service);
    const double part = all / static_cast<double>(this->entries);
    const double left = all - this->pool.peer_used_slots(service);
    return std::max({1.0, part, left});
}

base::duration scheduler::wait_expected(const request& item) const
{
    const auto queue = this->queues.find(item.facts.service);
    if (queue == this->queues.end() || queue->second.empty())
        return base::duration{0};
    return duration_of(
        queue->second.expected_wait(this->queue_entry(item), this->now));
}

// Told on arrival, a caller has all of its time for a later slot.
bool scheduler::cannot_meet_deadline(const request& item) const
{
    return this->now + this->wait_expected(item) > item.give_up_at;
}

// Refuses requests that can't be served in time while their callers have time
// for another try.
void scheduler::refuse_out_of_reach()
{
    if (this->delegating || this->paused)
        return;
    for (auto& [service, queue] : this->queues) {
        // Without a usable upstream nobody overtakes anybody, and one may be
        // back in time.
        if (queue.empty() || this->pool.total_slots(service) == 0)
            continue;
        queue.set_slots(this->available_slots(service));
        for (const base::request_id id : queue.out_of_reach(this->now))
            this->refuse(this->requests.at(id), base::reason::overloaded);
    }
}

std::vector<queue_report> scheduler::own_queue_reports() const
{
    std::vector<queue_report> out;
    for (const auto& [service, queue] : this->queues) {
        if (!queue.empty())
            out.push_back({service, queue.lengths()});
    }
    return out;
}

std::vector<service_queue_figures> scheduler::take_queue_figures()
{
    std::vector<service_queue_figures> out;
    for (auto& [service, since] : this->figures) {
        const auto queue = this->queues.find(service);
        const std::size_t waiting =
            queue == this->queues.end() ? 0 : queue->second.size();
        out.push_back({service,
                       std::exchange(since, {}),
                       waiting,
                       this->pool.total_slots(service),
                       this->pool.used_slots(service)});
    }
    return out;
}

std::size_t scheduler::waiting() const
{
    std::size_t sum = 0;
    for (const auto& [service, queue] : this->queues)
        sum += queue.size();
    return sum;
}

} // namespace greengagedrum::traffic
