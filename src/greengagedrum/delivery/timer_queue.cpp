#include <greengagedrum/delivery/request.hpp>
#include <greengagedrum/delivery/timer_queue.hpp>

namespace greengagedrum::delivery
{

void timer_queue::set(request& item, base::instant at)
{
    this->clear(item);
    item.timer = at;
    this->entries.emplace(at, item.id);
}

void timer_queue::clear(request& item)
{
    if (!item.timer)
        return;
    this->entries.erase({*item.timer, item.id});
    item.timer.reset();
}

std::optional<base::instant> timer_queue::next() const
{
    if (this->entries.empty())
        return std::nullopt;
    return this->entries.begin()->first;
}

std::optional<base::request_id> timer_queue::pop_due(base::instant now)
{
    if (this->entries.empty() || this->entries.begin()->first > now)
        return std::nullopt;
    const base::request_id due = this->entries.begin()->second;
    this->entries.erase(this->entries.begin());
    return due;
}

} // namespace greengagedrum::delivery
