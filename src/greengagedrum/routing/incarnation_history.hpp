// The incarnations of one upstream that were published, and which of them
// counts.
//
// The one that started last counts. A late report of an older one doesn't
// change that, however high its revision is. If an older one goes on to report
// and the newer one doesn't, the newer one was never there: another program
// wrote its item. Which one counts depends on the reports, not on their order.
#pragma once

#include <greengagedrum/routing/published_upstream.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace greengagedrum::routing
{

class incarnation_history
{
public:
    void add(const published_upstream& report);

    // The latest report of the incarnation that counts; null if there is none.
    const published_upstream* counted() const;

    // Whether that incarnation has announced that it leaves.
    bool has_announced_leaving(base::upstream_id incarnation) const;

private:
    // Reports in a row by which an older incarnation shows that it is there. A
    // process that has ended may have one or two more under way.
    static constexpr std::size_t reports_to_count = 3;
    static constexpr std::size_t max_incarnations = 4;

    struct incarnation {
        published_upstream latest; // its report of the highest revision
        bool announced_leaving = false;
        // The highest revisions of its reports, descending; 0: none.
        std::array<std::uint64_t, reports_to_count> revisions{};

        void add_revision(std::uint64_t revision);
        bool goes_on_after(const incarnation& newer) const;
    };

    incarnation& find_or_add(const published_upstream& report);
    const incarnation* find(base::upstream_id id) const;
    const incarnation* find_counted() const;
    void forget_oldest();

    std::vector<incarnation> incarnations; // by start, latest first
};

} // namespace greengagedrum::routing
