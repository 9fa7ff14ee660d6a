#include <greengagedrum/peers/demand_links.hpp>

#include <utility>

namespace greengagedrum::peers
{

bool demand_links::wait_for(base::slot_id slot, payload body, base::instant now)
{
    const bool known = this->wanted.contains(slot);
    if (this->queue.size() >= waiting_max)
        return false;
    if (!known && this->wanted.size() >= slots_max)
        return false;
    this->wanted[slot] = now + keep_link;
    this->queue.push_back({slot, std::move(body), now + keep_payload});
    return true;
}

void demand_links::used(base::slot_id slot, base::instant now)
{
    const auto found = this->wanted.find(slot);
    if (found != this->wanted.end())
        found->second = now + keep_link;
}

std::vector<payload> demand_links::take(base::slot_id slot, base::instant now)
{
    std::vector<payload> out;
    std::deque<waiting> others;
    for (waiting& one : this->queue) {
        if (one.to != slot)
            others.push_back(std::move(one));
        else if (now < one.until)
            out.push_back(std::move(one.body));
    }
    this->queue = std::move(others);
    return out;
}

bool demand_links::expire(base::instant now)
{
    std::erase_if(this->queue,
                  [now](const waiting& one) { return one.until <= now; });
    return std::erase_if(this->wanted, [now](const auto& entry) {
               return entry.second <= now;
           }) > 0;
}

std::vector<base::slot_id> demand_links::slots() const
{
    std::vector<base::slot_id> out;
    out.reserve(this->wanted.size());
    for (const auto& [slot, until] : this->wanted)
        out.push_back(slot);
    return out;
}

} // namespace greengagedrum::peers
