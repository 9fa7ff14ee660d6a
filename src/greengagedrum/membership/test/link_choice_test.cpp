#include <greengagedrum/membership/link_choice.hpp>
#include <greengagedrum/membership/send_intervals.hpp>

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>

namespace greengagedrum::membership
{

// 350 entries in 17 data centres, the fleet that the byte budget is for.
struct fleet_fixture {
    static constexpr int data_centres = 17;
    static constexpr int entries = 350;

    instance_list list;

    fleet_fixture()
    {
        this->list.revision = 1;
        for (int index = 0; index < entries; ++index) {
            const std::string data_centre =
                "zona-" + std::to_string(index % data_centres);
            this->list.instances.push_back(
                {data_centre + "-" + std::to_string(index),
                 instance_type::entry,
                 data_centre,
                 "127.0.0.1:1",
                 listed_state::live});
        }
    }

    std::vector<link_target> links_of(const listed_instance& entry) const
    {
        return choose_links(this->list,
                            base::slot_id(entry.name),
                            base::data_centre_id(entry.data_centre),
                            [](base::slot_id) { return true; });
    }
};

TEST_CASE_FIXTURE(fleet_fixture,
                  "links_whole_fleet_symmetric_within_byte_budget")
{
    std::map<base::slot_id, std::string> data_centre_of;
    for (const listed_instance& entry : this->list.instances)
        data_centre_of[base::slot_id(entry.name)] = entry.data_centre;
    std::set<std::pair<base::slot_id, base::slot_id>> pairs;
    std::map<std::pair<std::string, std::string>, int> pairs_between;
    std::size_t max_links = 0;
    for (const listed_instance& entry : this->list.instances) {
        const auto links = this->links_of(entry);
        max_links = std::max(max_links, links.size());
        for (const link_target& to : links) {
            pairs.emplace(base::slot_id(entry.name), to.slot);
            if (data_centre_of[to.slot] != entry.data_centre)
                ++pairs_between[{entry.data_centre, data_centre_of[to.slot]}];
        }
    }
    for (const auto& [from, to] : pairs)
        CHECK(pairs.contains({to, from}));
    CHECK(pairs_between.size() == data_centres * (data_centres - 1));
    for (const auto& [ends, count] : pairs_between)
        CHECK(count == pairs_per_data_centre);
    MESSAGE("most links of one entry: ", max_links);
    // The budget computed in send_intervals.hpp.
    CHECK(max_links <= 26);
    const send_intervals slowest = send_intervals_for(max_links, 20);
    const double seconds =
        std::chrono::duration<double>(slowest.heartbeat).count();
    CHECK(static_cast<double>(max_links) * 207.0 / seconds <= 6144.0);
}

// Both ends of the chosen pairs fail, round after round. Other pairs must be
// chosen, or the two data centres lose contact.
TEST_CASE_FIXTURE(fleet_fixture, "links_remote_ends_gone_other_pairs_chosen")
{
    std::set<base::slot_id> gone;
    const auto usable = [&gone](base::slot_id slot) {
        return !gone.contains(slot);
    };
    for (int round = 0; round < 8; ++round) {
        std::size_t pair_count = 0;
        std::set<base::slot_id> used;
        for (const listed_instance& entry : this->list.instances) {
            if (entry.data_centre != "zona-0" ||
                gone.contains(base::slot_id(entry.name)))
                continue;
            for (const link_target& to :
                 choose_links(this->list,
                              base::slot_id(entry.name),
                              base::data_centre_id("zona-0"),
                              usable)) {
                const auto remote = std::find_if(
                    this->list.instances.begin(),
                    this->list.instances.end(),
                    [&to](const listed_instance& other) {
                        return base::slot_id(other.name) == to.slot &&
                               other.data_centre == "zona-1";
                    });
                if (remote == this->list.instances.end())
                    continue;
                ++pair_count;
                used.insert(base::slot_id(entry.name));
                used.insert(to.slot);
            }
        }
        CHECK(pair_count == pairs_per_data_centre);
        gone.insert(used.begin(), used.end());
    }
}

TEST_CASE("send_intervals_few_links_minimum_many_links_bounded")
{
    CHECK(send_intervals_for(2, 2).heartbeat == base::duration(400'000));
    CHECK(send_intervals_for(25, 20).heartbeat == base::duration(1'000'000));
    CHECK(send_intervals_for(1, 1).load_digest == base::duration(500'000));
    CHECK(send_intervals_for(2, 2).load_digest < base::duration(530'000));
    CHECK(send_intervals_for(25, 20).load_digest > base::duration(4'000'000));
}

} // namespace greengagedrum::membership
