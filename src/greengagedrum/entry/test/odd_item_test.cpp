// An odd item of another program among those of the upstreams.
#include <greengagedrum/entry/cluster_state.hpp>

#include <doctest/doctest.h>

namespace greengagedrum::entry
{

namespace
{

using namespace std::chrono_literals;

routing::store_item upstream_item(const std::string& name,
                                  std::uint64_t revision,
                                  const std::string& more_fields = "")
{
    return {"servers/" + name,
            R"({"service": "s", "address": "10.0.0.1:80", "zone": "hall",
                "version": "v1", "slots": 5, "state": "ready",
                "warmupRemainingMs": 0, "sequence": 1)" +
                more_fields + "}",
            revision,
            false};
}

routing::store_item item_with_start_time(const std::string& name,
                                         std::uint64_t started_ms,
                                         std::uint64_t revision)
{
    return upstream_item(
        name, revision, R"(, "born": )" + std::to_string(started_ms));
}

struct odd_item_fixture {
    base::instant now{1h};
    cluster_state cluster;

    cluster_changes list(const routing::store_item_list& items,
                         std::uint64_t as_of)
    {
        return this->cluster.apply(items, as_of, true, this->now);
    }
    cluster_changes update(const routing::store_item_list& items,
                           std::uint64_t as_of)
    {
        return this->cluster.apply(items, as_of, false, this->now);
    }
};

} // namespace

// Guards against an odd item that removes all upstreams of a deployment in
// which none publishes a start time.
TEST_CASE_FIXTURE(odd_item_fixture,
                  "odd_item_with_start_time_leaves_upstreams_without_one")
{
    this->list({upstream_item("i-1", 4), upstream_item("i-2", 5)}, 6);
    CHECK(this->update({item_with_start_time("odd", 2'000, 7)}, 7)
              .removed.empty());
    CHECK(this->update({upstream_item("i-3", 8)}, 8).added.size() == 1);
}

TEST_CASE_FIXTURE(odd_item_fixture,
                  "odd_item_with_start_time_removed_upstream_is_back")
{
    this->list({upstream_item("i-1", 4)}, 6);
    this->update({item_with_start_time("odd", 2'000, 7)}, 7);
    this->update({{"servers/odd", "", 8, true}}, 8);
    CHECK(this->update({upstream_item("i-1", 9)}, 9).added.size() == 1);
}

// An entry that starts later has seen the upstream's own reports only; one that
// saw the odd item comes to the same state by them.
TEST_CASE_FIXTURE(odd_item_fixture,
                  "item_with_start_far_ahead_entries_agree_after_three_reports")
{
    this->list({item_with_start_time("i-1", 1'000, 4)}, 6);
    this->update({item_with_start_time("i-1", 4'102'444'800'000, 7)}, 7);
    for (std::uint64_t revision = 8; revision <= 10; ++revision)
        this->update({item_with_start_time("i-1", 1'000, revision)}, revision);
    cluster_state later;
    later.apply({item_with_start_time("i-1", 1'000, 10)}, 10, true, this->now);
    const base::upstream_id own = routing::incarnation_id("i-1", 1'000);
    CHECK(this->cluster.upstreams().find_usable(own) != nullptr);
    CHECK(later.upstreams().find_usable(own) != nullptr);
    CHECK(this->cluster.content_digest() == later.content_digest());
}

// The changes that a peer passes on hold the upstream's own report.
TEST_CASE_FIXTURE(odd_item_fixture,
                  "item_with_start_far_ahead_peer_passes_on_what_counts")
{
    this->list({item_with_start_time("i-1", 1'000, 4)}, 6);
    this->update({item_with_start_time("i-1", 4'102'444'800'000, 7)}, 7);
    const std::uint64_t known = this->cluster.change_count();
    for (std::uint64_t revision = 8; revision <= 10; ++revision)
        this->update({item_with_start_time("i-1", 1'000, revision)}, revision);
    const gossip::item_transfer passed =
        this->cluster.items_after_change(known);
    REQUIRE(passed.items.size() == 1);
    CHECK(passed.items.front().revision == 10);
}

} // namespace greengagedrum::entry
