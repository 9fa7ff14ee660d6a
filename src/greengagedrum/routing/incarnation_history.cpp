#include <greengagedrum/routing/incarnation_history.hpp>

#include <algorithm>
#include <functional>

namespace greengagedrum::routing
{

void incarnation_history::incarnation::add_revision(std::uint64_t revision)
{
    const auto place = std::lower_bound(this->revisions.begin(),
                                        this->revisions.end(),
                                        revision,
                                        std::greater<>());
    if (place == this->revisions.end() || *place == revision)
        return;
    std::move_backward(place, this->revisions.end() - 1, this->revisions.end());
    *place = revision;
}

bool incarnation_history::incarnation::goes_on_after(
    const incarnation& newer) const
{
    return this->revisions.back() > newer.revisions.front();
}

const incarnation_history::incarnation*
incarnation_history::find(base::upstream_id id) const
{
    const auto found = std::find_if(
        this->incarnations.begin(),
        this->incarnations.end(),
        [&](const incarnation& one) { return one.latest.id == id; });
    return found == this->incarnations.end() ? nullptr : &*found;
}

incarnation_history::incarnation&
incarnation_history::find_or_add(const published_upstream& report)
{
    const auto place = std::find_if(this->incarnations.begin(),
                                    this->incarnations.end(),
                                    [&](const incarnation& one) {
                                        return one.latest.started_unix_ms <=
                                               report.started_unix_ms;
                                    });
    if (place != this->incarnations.end() && place->latest.id == report.id)
        return *place;
    return *this->incarnations.insert(place, incarnation{report, false, {}});
}

void incarnation_history::add(const published_upstream& report)
{
    incarnation& own = this->find_or_add(report);
    own.add_revision(report.revision);
    own.announced_leaving = own.announced_leaving || report.leaving;
    if (report.revision > own.latest.revision)
        own.latest = report;
    if (this->incarnations.size() > max_incarnations)
        this->forget_oldest();
}

// Of those that don't count, the one that was last heard of the longest ago.
void incarnation_history::forget_oldest()
{
    const base::upstream_id counted = this->find_counted()->latest.id;
    const auto rank = [&](const incarnation& one) {
        return std::pair(one.latest.id == counted, one.revisions.front());
    };
    this->incarnations.erase(std::min_element(
        this->incarnations.begin(),
        this->incarnations.end(),
        [&](const incarnation& left, const incarnation& right) {
            return rank(left) < rank(right);
        }));
}

const incarnation_history::incarnation*
incarnation_history::find_counted() const
{
    for (auto newer = this->incarnations.begin();
         newer != this->incarnations.end();
         ++newer) {
        const bool was_there = std::none_of(
            newer + 1, this->incarnations.end(), [&](const incarnation& one) {
                return one.goes_on_after(*newer);
            });
        if (was_there)
            return &*newer;
    }
    return nullptr;
}

const published_upstream* incarnation_history::counted() const
{
    const incarnation* found = this->find_counted();
    return found == nullptr ? nullptr : &found->latest;
}

bool incarnation_history::has_announced_leaving(base::upstream_id id) const
{
    const incarnation* found = this->find(id);
    return found != nullptr && found->announced_leaving;
}

} // namespace greengagedrum::routing
