// Poison parts at entries that have just started or come back from a partition,
// and don't know yet what the others have quarantined.
#include <greengagedrum/entry/fleet_test/prompt_part_fleet.hpp>

#include <doctest/doctest.h>

namespace greengagedrum::entry::fleet_test
{

namespace
{

using namespace std::chrono_literals;

// Sends of one part allowed later than three seconds after its fifth crash,
// over all entries, however long these have run.
constexpr std::uint32_t max_late_sends = 3;
constexpr std::uint64_t seeds = 24;

template <class Change>
void check_late_sends(const Change& change)
{
    for (const std::size_t entries : {4U, 9U, 24U}) {
        std::uint32_t most = 0;
        std::uint32_t crashed = 0;
        std::uint32_t least = 1000;
        std::uint64_t above = 0;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            prompt_part_plan plan;
            plan.entries = entries;
            plan.seed = seed;
            plan.seconds = 20;
            // Upstreams crash so fast that the fifth has before any quarantine.
            plan.poison_requests = 30;
            plan.informed_after = 0ms;
            change(plan);
            const prompt_part_result result =
                prompt_part_fleet(plan).simulate();
            most = std::max(most, result.late_sends);
            crashed = std::max(crashed, result.crashed);
            least = std::min(least, result.crashed);
            above += result.late_sends > max_late_sends ? 1 : 0;
            CAPTURE(entries);
            CAPTURE(seed);
            CHECK(result.late_sends <= max_late_sends);
        }
        MESSAGE(entries,
                " entries: at most crashed ",
                crashed,
                ", least ",
                least,
                ", late sends ",
                most,
                "; above the bound in ",
                above,
                " of ",
                seeds,
                " seeds");
    }
}

} // namespace

// A process that has just started would send the part before the first message
// of a peer told it of the quarantine.
TEST_CASE("poison_part_at_entries_that_start_is_contained")
{
    check_late_sends(
        [](prompt_part_plan& plan) { plan.kills_after_fifth_crash = true; });
}

// Reports that are lost leave the process without what it asked for.
TEST_CASE(
    "poison_part_at_entries_that_start_is_contained_despite_lost_messages")
{
    check_late_sends([](prompt_part_plan& plan) {
        plan.kills_after_fifth_crash = true;
        plan.lost_share = 0.1;
    });
}

// An entry that was cut off from the crashes of the others would send the part
// on its return.
TEST_CASE("poison_part_at_entries_that_were_cut_off_is_contained")
{
    check_late_sends([](prompt_part_plan& plan) {
        plan.poison_on_return = true;
        plan.cut_from = 4.5;
        plan.cut_for = 9;
    });
}

} // namespace greengagedrum::entry::fleet_test
