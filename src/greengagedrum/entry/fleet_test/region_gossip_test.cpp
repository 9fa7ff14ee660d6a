// Bytes that a fleet in two regions sends between them.
#include <greengagedrum/entry/fleet_test/region_fleet.hpp>

namespace greengagedrum::entry::fleet_test
{

// Failure guarded against: load messages between regions, at the price of the
// link, cost more than what they improve.
TEST_CASE("two_regions_gossip_takes_a_fraction_of_the_bytes")
{
    const std::pair<std::size_t, std::uint64_t> least_ratios[] = {
        {12, 5}, {30, 10}, {67, 4}, {300, 4}};
    for (const auto& [entries, least_ratio] : least_ratios) {
        fleet_plan plan = two_regions(entries);
        plan.upstreams = upstreams;
        plan.requests = 300;
        plan.seconds = 12;
        const fleet_result after = run_plan("regions known", plan);
        plan.regions_in_settings = false;
        const fleet_result before = run_plan("regions unknown", plan);
        CHECK(after.bytes_across_regions * least_ratio <=
              before.bytes_across_regions);
        // Datagrams to seeds whose region isn't known yet are not counted.
        CHECK(after.counted_gossip_bytes <= after.bytes_across_regions);
        CHECK(after.counted_gossip_bytes * 3 >= after.bytes_across_regions);
        CHECK(before.counted_gossip_bytes == 0);
    }
}

} // namespace greengagedrum::entry::fleet_test
