#include <standin/cache_event_log.hpp>

namespace standin
{

void cache_event_log::add(const prefix_change& change,
                          greengagedrum::base::instant now)
{
    constexpr std::size_t kept = 4096;
    ++this->last_sequence;
    std::uniform_real_distribution<double> draw(0, 1);
    if (draw(this->random) < this->loss)
        return;
    this->events.push_back({this->last_sequence, change, now});
    if (this->events.size() > kept)
        this->events.pop_front();
}

std::vector<cache_event>
cache_event_log::read(std::uint64_t since,
                      greengagedrum::base::instant now) const
{
    std::vector<cache_event> seen;
    for (const cache_event& event : this->events)
        if (event.sequence > since && now - event.happened >= this->lag)
            seen.push_back(event);
    return seen;
}

} // namespace standin
