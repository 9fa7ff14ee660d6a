#include <greengagedrum/membership/incarnation_table.hpp>

#include <algorithm>

namespace greengagedrum::membership
{

bool incarnation_table::learn(base::slot_id slot, base::incarnation incarnation)
{
    const auto found = this->lines.find(slot);
    if (found == this->lines.end() && this->lines.size() >= slots_max)
        return false;
    line& known = this->lines[slot];
    if (incarnation <= known.incarnation)
        return false;
    const bool first = known.incarnation == base::incarnation{};
    known = line{incarnation, first ? tellings_of_first : tellings_of_news};
    return true;
}

base::incarnation incarnation_table::highest(base::slot_id slot) const
{
    const auto found = this->lines.find(slot);
    return found == this->lines.end() ? base::incarnation{}
                                      : found->second.incarnation;
}

bool incarnation_table::has_unsent_replacement() const
{
    return std::any_of(
        this->lines.begin(), this->lines.end(), [](const auto& entry) {
            return entry.second.tellings == tellings_of_news;
        });
}

std::vector<heartbeat::known_incarnation>
incarnation_table::next_to_tell(bool in_turn)
{
    std::vector<heartbeat::known_incarnation> out;
    for (auto& [slot, known] : this->lines) {
        if (known.tellings == 0)
            continue;
        --known.tellings;
        out.push_back({slot, known.incarnation});
        if (out.size() == told_at_once)
            return out;
    }
    if (!in_turn || this->lines.empty())
        return out;
    auto next = this->lines.upper_bound(this->turn);
    if (next == this->lines.end())
        next = this->lines.begin();
    this->turn = next->first;
    out.push_back({next->first, next->second.incarnation});
    return out;
}

} // namespace greengagedrum::membership
