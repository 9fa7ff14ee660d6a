// Applying items from the store and from peers, in any order.
#include <greengagedrum/entry/cluster_state.hpp>

#include <doctest/doctest.h>

#include <algorithm>

namespace greengagedrum::entry
{

namespace
{

using namespace std::chrono_literals;

routing::store_item config_item(int version, std::uint64_t revision)
{
    return {"op/config",
            R"({"version": )" + std::to_string(version) + R"(, "routes": []})",
            revision,
            false};
}

routing::store_item upstream_item(const char* name, std::uint64_t revision)
{
    return {std::string("servers/") + name,
            R"({"service": "s", "address": "10.0.0.1:80", "zone": "hall",
                "version": "v1", "slots": 5, "state": "ready",
                "warmupRemainingMs": 0, "sequence": 1})",
            revision,
            false};
}

routing::store_item
cold_item(const char* name, int remaining_ms, std::uint64_t revision)
{
    routing::store_item out = upstream_item(name, revision);
    const std::string field = R"("warmupRemainingMs": )";
    out.value.replace(out.value.find(field),
                      field.size() + 1,
                      field + std::to_string(remaining_ms));
    return out;
}

routing::store_item service_item(std::uint64_t revision)
{
    return {"op/config",
            R"({"version": 1, "routes": [], "services": [{"name": "s",
                "warmupS": 3, "warmupPerS": 7.3}]})",
            revision,
            false};
}

routing::store_item evacuation_item(std::uint64_t revision)
{
    return {"op/evacuate/hall", "", revision, false};
}

routing::store_item item_with_start_time(const char* name,
                                         std::uint64_t started_ms,
                                         std::uint64_t revision)
{
    routing::store_item out = upstream_item(name, revision);
    out.value.back() = ',';
    out.value += R"("born": )" + std::to_string(started_ms) + "}";
    return out;
}

struct cluster_fixture {
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

// Guards against sending requests to the upstreams of an evacuated data centre.
TEST_CASE_FIXTURE(cluster_fixture, "evacuated_upstreams_leave_and_come_back")
{
    this->list({upstream_item("i-1", 4)}, 4);
    const base::upstream_id id("i-1");
    const auto started = this->update({evacuation_item(6)}, 6);
    CHECK(started.removed.size() == 1);
    REQUIRE(started.evacuations.size() == 1);
    CHECK(started.evacuations.front().data_centre == "hall");
    CHECK(this->cluster.upstreams().find_usable(id) == nullptr);
    CHECK(this->cluster.upstreams().find_alive(id) != nullptr);
    // Load reports go on during the evacuation and must not end it.
    CHECK(this->update({upstream_item("i-1", 8)}, 8).added.empty());
    const auto ended = this->update({{"op/evacuate/hall", "", 9, true}}, 9);
    CHECK(ended.added.size() == 1);
    CHECK(this->cluster.upstreams().find_usable(id) != nullptr);
}

// Upstreams become cold while evacuated, but publish that only later.
TEST_CASE_FIXTURE(cluster_fixture,
                  "upstreams_after_an_evacuation_count_as_cold")
{
    this->list({service_item(2), upstream_item("i-1", 4), evacuation_item(5)},
               6);
    const auto ended = this->update({{"op/evacuate/hall", "", 9, true}}, 9);
    REQUIRE(ended.added.size() == 1);
    CHECK(ended.added.front().warmup == 3s);
}

// Only the first report of an upstream says that it is cold. Members detect the
// change by the digest that their dispatcher sends.
TEST_CASE_FIXTURE(cluster_fixture, "upstream_turning_cold_or_warm_is_a_change")
{
    this->list({upstream_item("i-1", 4)}, 4);
    const std::uint64_t warm = this->cluster.content_digest();
    const auto cold = this->update({cold_item("i-1", 2500, 6)}, 6);
    REQUIRE(cold.added.size() == 1);
    CHECK(cold.added.front().warmup == 2500ms);
    CHECK(this->cluster.content_digest() != warm);
    CHECK(this->update({cold_item("i-1", 1300, 8)}, 8).added.size() == 1);
    CHECK(this->update({upstream_item("i-1", 10)}, 10).added.size() == 1);
    CHECK(this->cluster.content_digest() == warm);
    CHECK(this->cluster.last_change_revision() == 10);
    CHECK(this->update({upstream_item("i-1", 12)}, 12).added.empty());
}

// An entry that has just started receives upstreams and evacuations in one
// listing, in any order.
TEST_CASE_FIXTURE(cluster_fixture,
                  "upstream_listed_with_its_evacuation_is_not_added")
{
    const auto changes =
        this->list({upstream_item("i-1", 4), evacuation_item(3)}, 6);
    CHECK(changes.added.empty());
    CHECK(this->cluster.upstreams().usable_count() == 0);
}

// The watch that reported the end of the evacuation was lost; the next full
// listing no longer holds the item.
TEST_CASE_FIXTURE(cluster_fixture,
                  "evacuation_missing_from_a_full_listing_has_ended")
{
    this->list({upstream_item("i-1", 4), evacuation_item(5)}, 6);
    const auto changes = this->list({upstream_item("i-1", 4)}, 9);
    CHECK(changes.added.size() == 1);
    CHECK(this->cluster.upstreams().usable_count() == 1);
}

// A peer that is behind must neither end an evacuation nor start one again.
TEST_CASE_FIXTURE(cluster_fixture, "older_evacuation_item_changes_nothing")
{
    this->list({upstream_item("i-1", 4)}, 4);
    this->update({{"op/evacuate/hall", "", 9, true}}, 9);
    CHECK(this->update({evacuation_item(7)}, 9).removed.empty());
    this->update({evacuation_item(12)}, 12);
    CHECK(this->update({{"op/evacuate/hall", "", 10, true}}, 12).added.empty());
    CHECK(this->cluster.upstreams().usable_count() == 0);
}

// Guards against a digest that leaves out evacuations: two entries that differ
// only in one would take themselves to be in the same state.
TEST_CASE_FIXTURE(cluster_fixture, "evacuation_is_passed_to_peers_that_ask")
{
    this->list({upstream_item("i-1", 4)}, 4);
    cluster_state behind;
    behind.apply(this->cluster.items_after_revision(0), this->now);
    CHECK(behind.content_digest() == this->cluster.content_digest());
    this->update({evacuation_item(6)}, 6);
    CHECK(behind.content_digest() != this->cluster.content_digest());
    CHECK(behind.last_change_revision() < this->cluster.last_change_revision());
    CHECK(behind.apply(this->cluster.items_after_revision(4), this->now)
              .removed.size() == 1);
    CHECK(behind.content_digest() == this->cluster.content_digest());
}

// An evacuation item has an empty value and must not be dropped like a removed
// item when thousands of removed items are kept.
TEST_CASE_FIXTURE(cluster_fixture, "evacuation_survives_many_removed_items")
{
    this->list({upstream_item("i-1", 4), evacuation_item(5)}, 6);
    for (std::uint64_t number = 10; number < 5000; ++number)
        this->update(
            {{"servers/x-" + std::to_string(number), "", number, true}},
            number);
    const auto sent = this->cluster.items_after_revision(0);
    CHECK(
        std::any_of(sent.items.begin(), sent.items.end(), [](const auto& one) {
            return one.key == "op/evacuate/hall" && !one.removed;
        }));
}

// An entry receives items from a peer that is behind the store. A change that
// was in force must not be reverted.
TEST_CASE_FIXTURE(cluster_fixture, "older_configuration_is_ignored")
{
    CHECK(this->list({config_item(3, 10)}, 10).configuration_changed);
    CHECK(this->update({config_item(5, 14)}, 14).configuration_changed);
    CHECK_FALSE(this->list({config_item(3, 10)}, 12).configuration_changed);
    CHECK(this->cluster.configuration_version() == 5);
    CHECK(this->cluster.store_revision() == 14);
}

TEST_CASE_FIXTURE(cluster_fixture,
                  "unreadable_configuration_keeps_the_last_valid_one")
{
    this->list({config_item(3, 10)}, 10);
    const auto changes = this->update({{"op/config", "{", 11, false}}, 11);
    CHECK_FALSE(changes.configuration_changed);
    CHECK(changes.unreadable_items.size() == 1);
    CHECK(this->cluster.configuration_version() == 3);
}

TEST_CASE_FIXTURE(cluster_fixture,
                  "upstream_missing_from_a_full_listing_is_removed")
{
    this->list({upstream_item("i-1", 4), upstream_item("i-2", 5)}, 6);
    this->update({upstream_item("i-3", 9)}, 9);
    const auto changes = this->list({upstream_item("i-2", 5)}, 8);
    CHECK(changes.removed.size() == 1);
    CHECK(this->cluster.upstreams().usable_count() ==
          2); // i-3 is newer than the listing
}

// Another program overwrites an upstream's item and adds a thousand items of
// its own. That upstream gets no more work; the others are unaffected.
TEST_CASE_FIXTURE(cluster_fixture, "items_of_another_program_are_no_upstreams")
{
    this->list({upstream_item("i-1", 4), upstream_item("i-2", 5)}, 6);
    routing::store_item_list foreign = {
        {"servers/i-1", R"({"state": "ready"})", 7, false}};
    for (int one = 0; one < 1'000; ++one)
        foreign.push_back({"servers/x-" + std::to_string(one),
                           std::string(10'000, 'x'),
                           8 + static_cast<std::uint64_t>(one),
                           false});
    const auto changes = this->update(foreign, 2'000);
    CHECK(changes.unreadable_items.size() == foreign.size());
    REQUIRE(changes.removed.size() == 1);
    CHECK(changes.removed.front().name == "i-1");
    CHECK(this->cluster.upstreams().usable_count() == 1);
    // The foreign values are not stored.
    std::size_t bytes = 0;
    for (const auto& one : this->cluster.items_after_revision(0).items)
        bytes += one.value.size();
    CHECK(bytes < 1'000);
    // The upstream's next report adds it again.
    CHECK(this->update({upstream_item("i-1", 2'001)}, 2'001).added.size() == 1);
}

// A restarted upstream replaces its previous incarnation, which is reported as
// removed.
TEST_CASE_FIXTURE(cluster_fixture, "restarted_upstream_is_removed_and_added")
{
    this->list({item_with_start_time("i-1", 1'000, 4)}, 6);
    const auto changes =
        this->update({item_with_start_time("i-1", 2'000, 7)}, 7);
    REQUIRE(changes.removed.size() == 1);
    REQUIRE(changes.added.size() == 1);
    CHECK(changes.removed.front().id != changes.added.front().id);
    // Once upstreams publish a start time, an item without one is not an
    // upstream's.
    CHECK(this->update({upstream_item("i-2", 9)}, 9).added.empty());
}

// Upstreams come and go for weeks, and other programs' keys are always new. The
// number of removed items kept for peers is bounded.
TEST_CASE_FIXTURE(cluster_fixture, "removed_and_unreadable_items_are_bounded")
{
    for (std::uint64_t one = 1; one <= 10'000; ++one) {
        const std::string key = "servers/x-" + std::to_string(one);
        this->update({{key, "", one, one % 2 == 0}}, one);
    }
    CHECK(this->cluster.items_after_revision(1).items.size() < 5'000);
}

TEST_CASE_FIXTURE(
    cluster_fixture,
    "upstream_without_start_time_is_removed_once_others_publish_one")
{
    this->list({upstream_item("i-1", 4)}, 4);
    const auto changes =
        this->update({item_with_start_time("i-2", 2'000, 7)}, 7);
    CHECK(changes.removed.size() == 1);
    CHECK(this->cluster.upstreams().usable_count() == 1);
}

// The store was unreachable for longer than the leases last and then reports
// every upstream as removed. Live upstreams report again within two seconds.
TEST_CASE_FIXTURE(cluster_fixture, "removals_after_a_store_outage_are_deferred")
{
    this->list({upstream_item("i-1", 4), upstream_item("i-2", 5)}, 6);
    this->cluster.on_store_failed(this->now);
    this->now += 5s;
    this->cluster.on_store_answered(this->now);
    CHECK(this->list({}, 20).removed.empty());
    this->now += 1s;
    this->update({upstream_item("i-1", 25)}, 25);
    this->now += 1s;
    CHECK(this->cluster.expire(this->now).removed.size() == 1);
    CHECK(this->cluster.upstreams().find_usable(base::upstream_id("i-1")) !=
          nullptr);
}

TEST_CASE_FIXTURE(cluster_fixture,
                  "removal_without_a_store_outage_takes_effect_at_once")
{
    this->list({upstream_item("i-1", 4)}, 6);
    this->cluster.on_store_failed(this->now);
    this->now += 300ms; // one answer was lost
    this->cluster.on_store_answered(this->now);
    CHECK(this->update({{"servers/i-1", "", 9, true}}, 9).removed.size() == 1);
}

TEST_CASE_FIXTURE(cluster_fixture, "peer_with_some_items_gets_the_rest")
{
    this->list({config_item(3, 2), upstream_item("i-1", 4)}, 6);
    this->update({{"servers/i-1", "", 9, true}, upstream_item("i-2", 8)}, 9);
    const auto some = this->cluster.items_after_revision(6);
    CHECK_FALSE(some.complete);
    CHECK(some.store_revision == 9);
    CHECK(some.items.size() == 2);
    const auto all = this->cluster.items_after_revision(0);
    CHECK(all.complete);
    CHECK(all.items.size() == 2); // without the removed one

    cluster_state other;
    other.apply(all.items, all.store_revision, all.complete, this->now);
    CHECK(other.configuration_version() == 3);
    CHECK(other.upstreams().usable_count() == 1);
}

// A store that lost its history delivers a configuration of revision 15 after
// reports of revision 20. A peer that has all items up to revision 20 must
// still get the configuration.
TEST_CASE_FIXTURE(cluster_fixture, "late_configuration_reaches_a_follower")
{
    this->list({config_item(3, 5), upstream_item("i-1", 4)}, 6);
    this->update({upstream_item("i-1", 20)},
                 20); // a load report, which changes nothing
    CHECK(this->cluster.last_change_revision() == 5);
    cluster_state follower;
    follower.apply(this->cluster.items_after_revision(0), this->now);
    CHECK(follower.store_revision() == 20);

    this->list({config_item(4, 15), upstream_item("i-1", 24)}, 25);
    CHECK(this->cluster.configuration_revision() >
          follower.configuration_revision()); // so the follower asks for items
    follower.apply(
        this->cluster.items_after_revision(follower.configuration_revision()),
        this->now);
    CHECK(follower.configuration_version() == 4);
}

// A store that lost its history delivers a change late, with a revision below
// those of other changes. A peer that asks for items above the newest revision
// it knows would never get it.
TEST_CASE_FIXTURE(cluster_fixture, "late_change_of_lower_revision_is_passed_on")
{
    this->update({upstream_item("i-1", 20)}, 20);
    const std::uint64_t sent = this->cluster.change_count();
    this->update({upstream_item("i-2", 9)}, 20);
    CHECK(
        this->cluster.items_after_revision(this->cluster.last_change_revision())
            .items.empty());
    const auto after = this->cluster.items_after_change(sent);
    REQUIRE(after.items.size() == 1);
    CHECK(after.items[0].key == "servers/i-2");
    CHECK(this->cluster.items_after_change(this->cluster.change_count())
              .items.empty());
    CHECK(this->cluster.items_after_change(0).complete);
}

// Entries receive the same items in different orders and load reports at
// different times. Their digests must be equal, or they would keep asking each
// other for items.
TEST_CASE_FIXTURE(cluster_fixture, "same_cluster_states_have_the_same_digest")
{
    cluster_state other;
    other.apply({upstream_item("i-2", 9)}, 9, false, this->now);
    other.apply({upstream_item("i-3", 10)}, 10, false, this->now);
    this->update({upstream_item("i-1", 5)}, 5);
    this->update({upstream_item("i-2", 3)}, 5);
    this->update({upstream_item("i-3", 6)}, 6);
    CHECK(this->cluster.content_digest() != other.content_digest());
    this->update({{"servers/i-1", "", 8, true}}, 8);
    CHECK(this->cluster.content_digest() == other.content_digest());
    this->update({upstream_item("i-3", 12)}, 12);
    CHECK(this->cluster.content_digest() == other.content_digest());
}

} // namespace greengagedrum::entry
