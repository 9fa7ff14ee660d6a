#include <greengagedrum/membership/incarnation_table.hpp>

#include <algorithm>

namespace greengagedrum::membership
{

bool incarnation_table::learn(base::slot_id slot, base::incarnation incarnation)
{
    const auto found = this->records.find(slot);
    if (found == this->records.end() && this->records.size() >= slots_max)
        return false;
    record& known = this->records[slot];
    if (incarnation <= known.incarnation)
        return false;
    const bool first = known.incarnation == base::incarnation{};
    known =
        record{incarnation, first ? first_send_count : replacement_send_count};
    return true;
}

base::incarnation incarnation_table::highest(base::slot_id slot) const
{
    const auto found = this->records.find(slot);
    return found == this->records.end() ? base::incarnation{}
                                        : found->second.incarnation;
}

bool incarnation_table::has_unsent_replacement() const
{
    return std::any_of(
        this->records.begin(), this->records.end(), [](const auto& item) {
            return item.second.sends_left == replacement_send_count;
        });
}

std::vector<heartbeat::known_incarnation>
incarnation_table::next_to_send(bool with_repeat)
{
    std::vector<heartbeat::known_incarnation> out;
    for (auto& [slot, known] : this->records) {
        if (known.sends_left == 0)
            continue;
        --known.sends_left;
        out.push_back({slot, known.incarnation});
        if (out.size() == batch_max)
            return out;
    }
    if (!with_repeat || this->records.empty())
        return out;
    auto repeated = this->records.upper_bound(this->last_repeated);
    if (repeated == this->records.end())
        repeated = this->records.begin();
    this->last_repeated = repeated->first;
    out.push_back({repeated->first, repeated->second.incarnation});
    return out;
}

} // namespace greengagedrum::membership
