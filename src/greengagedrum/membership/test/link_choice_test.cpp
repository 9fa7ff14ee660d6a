#include <greengagedrum/membership/link_choice.hpp>
#include <greengagedrum/membership/send_intervals.hpp>

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>

namespace greengagedrum::membership
{

struct fleet_fixture {
    static constexpr int data_centres = 17;
    static constexpr int entries = 350;

    instance_list list;

    fleet_fixture()
    {
        this->list.revision = 1;
        for (int at = 0; at < entries; ++at) {
            const std::string where =
                "zona-" + std::to_string(at % data_centres);
            this->list.instances.push_back({where + "-" + std::to_string(at),
                                            instance_type::entry,
                                            where,
                                            "127.0.0.1:1",
                                            listed_state::live});
        }
    }

    std::vector<link_target> links_of(const listed_instance& line) const
    {
        return choose_links(this->list,
                            base::slot_id(line.name),
                            base::data_centre_id(line.data_centre),
                            [](base::slot_id) { return true; });
    }
};

TEST_CASE_FIXTURE(fleet_fixture, "links_whole_fleet_symmetric_and_within_bytes")
{
    std::map<base::slot_id, std::string> where;
    for (const listed_instance& line : this->list.instances)
        where[base::slot_id(line.name)] = line.data_centre;
    std::set<std::pair<base::slot_id, base::slot_id>> pairs;
    std::map<std::pair<std::string, std::string>, int> across;
    std::size_t most = 0;
    for (const listed_instance& line : this->list.instances) {
        const auto links = this->links_of(line);
        most = std::max(most, links.size());
        for (const link_target& to : links) {
            pairs.emplace(base::slot_id(line.name), to.slot);
            if (where[to.slot] != line.data_centre)
                ++across[{line.data_centre, where[to.slot]}];
        }
    }
    for (const auto& [one, other] : pairs)
        CHECK(pairs.contains({other, one}));
    CHECK(across.size() == data_centres * (data_centres - 1));
    for (const auto& [ends, count] : across)
        CHECK(count == pairs_across);
    MESSAGE("most links of one entry: ", most);
    // What send_intervals.hpp reckons with.
    CHECK(most <= 26);
    const send_intervals slowest = send_intervals_for(most, 20);
    const double seconds =
        std::chrono::duration<double>(slowest.heartbeat).count();
    CHECK(static_cast<double>(most) * 207.0 / seconds <= 6144.0);
}

// The two ends of a pair across are lost one after another: the data centres
// must find other pairs rather than lose sight of each other.
TEST_CASE_FIXTURE(fleet_fixture, "links_across_pass_over_entries_that_are_gone")
{
    std::set<base::slot_id> gone;
    const auto usable = [&gone](base::slot_id slot) {
        return !gone.contains(slot);
    };
    for (int turn = 0; turn < 8; ++turn) {
        std::size_t found = 0;
        std::set<base::slot_id> lost;
        for (const listed_instance& line : this->list.instances) {
            if (line.data_centre != "zona-0" ||
                gone.contains(base::slot_id(line.name)))
                continue;
            for (const link_target& to :
                 choose_links(this->list,
                              base::slot_id(line.name),
                              base::data_centre_id("zona-0"),
                              usable)) {
                const auto far = std::find_if(
                    this->list.instances.begin(),
                    this->list.instances.end(),
                    [&to](const listed_instance& other) {
                        return base::slot_id(other.name) == to.slot &&
                               other.data_centre == "zona-1";
                    });
                if (far == this->list.instances.end())
                    continue;
                ++found;
                lost.insert(base::slot_id(line.name));
                lost.insert(to.slot);
            }
        }
        CHECK(found == pairs_across);
        gone.insert(lost.begin(), lost.end());
    }
}

TEST_CASE("pace_few_links_quick_many_links_bounded")
{
    CHECK(send_intervals_for(2, 2).heartbeat == base::duration(400'000));
    CHECK(send_intervals_for(25, 20).heartbeat == base::duration(1'000'000));
    CHECK(send_intervals_for(1, 1).load_digest == base::duration(500'000));
    CHECK(send_intervals_for(2, 2).load_digest < base::duration(530'000));
    CHECK(send_intervals_for(25, 20).load_digest > base::duration(4'000'000));
}

} // namespace greengagedrum::membership
