// Lookup of routes, workspaces and upstreams.
#include <greengagedrum/routing/data_centre_constraint.hpp>
#include <greengagedrum/routing/regions.hpp>
#include <greengagedrum/routing/route_table.hpp>
#include <greengagedrum/routing/upstream_directory.hpp>

#include <doctest/doctest.h>

#include <algorithm>
#include <random>

namespace greengagedrum::routing
{

namespace
{

using namespace std::chrono_literals;

route route_to(std::string host, std::string prefix, std::uint32_t priority)
{
    route out;
    out.name = host + prefix;
    out.id = base::kind_id(out.name);
    out.host = std::move(host);
    out.prefix = std::move(prefix);
    out.priority = priority;
    out.targets.push_back({base::upstream_class_id("models"), "models", 3});
    out.targets.push_back({base::upstream_class_id("desk"), "desk", 1});
    return out;
}

workspace workspace_named(const char* name,
                          std::optional<std::uint32_t> priority)
{
    workspace out;
    out.name = name;
    out.id = base::workspace_id(out.name);
    out.keys = {out.name + "-key"};
    out.priority = priority;
    return out;
}

struct table_fixture {
    configuration config;

    table_fixture()
    {
        this->config.routes = {route_to("hall.example", "/a/", 0),
                               route_to("hall.example", "/a/b/", 4),
                               route_to("yard.example", "/", 2)};
        this->config.workspaces = {workspace_named("gate", 1),
                                   workspace_named("office", 1)};
    }

    route_table table() const
    {
        return route_table(std::make_shared<const configuration>(this->config));
    }
};

published_upstream upstream_at(const char* name, std::uint64_t revision)
{
    published_upstream out;
    out.name = name;
    out.id = base::upstream_id(out.name);
    out.service = base::upstream_class_id("models");
    out.address = {"10.0.0.1", 80};
    out.slots = 5;
    out.revision = revision;
    return out;
}

published_upstream incarnation_at(std::uint64_t started_unix_ms,
                                  std::uint64_t revision)
{
    published_upstream out = upstream_at("i-1", revision);
    out.started_unix_ms = started_unix_ms;
    out.id = incarnation_id(out.name, started_unix_ms);
    return out;
}

base::instant time_at(base::duration elapsed)
{
    return base::instant(1h + elapsed);
}

} // namespace

TEST_CASE_FIXTURE(table_fixture, "path_matching_two_prefixes_takes_the_longest")
{
    const route_table table = this->table();
    CHECK(table.find_route("hall.example", "/a/b/c")->prefix == "/a/b/");
    CHECK(table.find_route("hall.example", "/a/bc")->prefix == "/a/");
    CHECK(table.find_route("hall.example", "/a/")->prefix == "/a/");
    CHECK(table.find_route("hall.example", "/a") == nullptr);
    CHECK(table.find_route("other.example", "/a/") == nullptr);
}

TEST_CASE_FIXTURE(table_fixture, "host_with_port_or_capitals_is_found")
{
    const route_table table = this->table();
    CHECK(table.find_route("YARD.example:8080", "/x")->host == "yard.example");
}

// An operator gives every workspace priority 1, to order workspaces among each
// other. If that replaced the routes' priorities, dossiers would queue behind
// shift notes in every burst.
TEST_CASE_FIXTURE(table_fixture,
                  "workspaces_of_equal_priority_ordered_by_route")
{
    const route_table table = this->table();
    const workspace* owner = table.find_workspace("gate-key");
    REQUIRE(owner != nullptr);
    const auto& routes = this->config.routes;
    CHECK(table.effective_priority(routes[0], owner) == 0);
    CHECK(table.effective_priority(routes[2], owner) == 1);
    CHECK(table.effective_priority(routes[1], owner) == 2);
}

TEST_CASE_FIXTURE(table_fixture, "workspace_priority_precedes_route_priority")
{
    this->config.workspaces[1].priority = 3;
    const route_table table = this->table();
    const workspace* gate = table.find_workspace("gate-key");
    const workspace* office = table.find_workspace("office-key");
    CHECK(table.effective_priority(this->config.routes[1], gate) <
          table.effective_priority(this->config.routes[0], office));
}

TEST_CASE_FIXTURE(table_fixture, "targets_share_requests_by_weight")
{
    const route& from = this->config.routes[0];
    CHECK(route_table::pick_target(from, 0.0).service_name == "models");
    CHECK(route_table::pick_target(from, 0.74).service_name == "models");
    CHECK(route_table::pick_target(from, 0.76).service_name == "desk");
    CHECK(route_table::pick_target(from, 0.999999).service_name == "desk");
}

// An upstream announces that it leaves, and an earlier report is written late.
// If that report counted, the upstream would get requests just before it ends.
TEST_CASE("leaving_upstream_reports_late_stays_unusable")
{
    upstream_directory directory;
    published_upstream entry = upstream_at("i-1", 5);
    CHECK(directory.update(entry) == upstream_change::joined);
    entry.leaving = true;
    entry.revision = 8;
    CHECK(directory.update(entry) == upstream_change::left);
    entry.leaving = false;
    entry.revision = 9;
    CHECK(directory.update(entry) == upstream_change::none);
    CHECK(directory.find_usable(entry.id) == nullptr);
}

// Failure guarded against: requests that may not leave some data centres go to
// an upstream that has moved.
TEST_CASE("upstream_that_changes_its_data_centre_is_updated")
{
    upstream_directory directory;
    published_upstream entry = upstream_at("i-1", 5);
    entry.data_centre = "hall";
    CHECK(directory.update(entry) == upstream_change::joined);
    entry.data_centre = "yard";
    entry.revision = 6;
    CHECK(directory.update(entry) == upstream_change::updated);
}

TEST_CASE("removed_upstream_older_update_ignored")
{
    upstream_directory directory;
    CHECK(directory.remove("i-1", 7, std::nullopt) == upstream_change::none);
    CHECK(directory.update(upstream_at("i-1", 6)) == upstream_change::none);
    CHECK(directory.usable_count() == 0);
    CHECK(directory.update(upstream_at("i-1", 8)) == upstream_change::joined);
}

// An upstream crashes and restarts under its name. What is known of the old
// incarnation (it hung, it was slow, six requests run on it) must not count for
// the new one.
TEST_CASE("restarted_upstream_has_a_new_id")
{
    upstream_directory directory;
    const published_upstream first = incarnation_at(1'000, 5);
    const published_upstream second = incarnation_at(2'000, 9);
    CHECK(first.id != second.id);
    CHECK(directory.update(first) == upstream_change::joined);
    CHECK(directory.update(second) == upstream_change::restarted);
    CHECK(directory.find_usable(first.id) == nullptr);
    REQUIRE(directory.find_usable(second.id) != nullptr);
    CHECK(directory.find_usable(second.id)->name == first.name);
    CHECK(directory.usable_count() == 1);
}

// An upstream announced that it leaves, ended, and starts again. The new
// incarnation must get requests.
TEST_CASE("upstream_that_left_returns_as_new_incarnation")
{
    upstream_directory directory;
    published_upstream leaving = incarnation_at(1'000, 5);
    leaving.leaving = true;
    directory.update(leaving);
    CHECK(directory.update(incarnation_at(1'000, 6)) == upstream_change::none);
    CHECK(directory.update(incarnation_at(2'000, 8)) ==
          upstream_change::joined);
    // The last report of the old incarnation, written late.
    CHECK(directory.update(incarnation_at(1'000, 9)) == upstream_change::none);
    CHECK(directory.find_usable(incarnation_at(2'000, 8).id) != nullptr);
}

// Updates of three incarnations, their leaving and a removal come from the
// store and from peers, in any order and some of them twice. All entries must
// end in the same state.
TEST_CASE("updates_in_any_order_end_in_same_state")
{
    std::mt19937_64 random(7);
    for (int round = 0; round < 2'000; ++round) {
        std::vector<published_upstream> updates;
        std::uint64_t removal_revision = 0;
        for (std::uint64_t revision = 1; revision <= 8; ++revision) {
            if (random() % 8 == 0) {
                removal_revision = revision;
                continue;
            }
            updates.push_back(incarnation_at(1'000 + random() % 3, revision));
            updates.back().leaving = random() % 6 == 0;
        }
        const auto apply_shuffled = [&] {
            upstream_directory directory;
            std::shuffle(updates.begin(), updates.end(), random);
            const std::size_t removal = random() % (updates.size() + 1);
            for (std::size_t time_at = 0; time_at <= updates.size();
                 ++time_at) {
                if (time_at == removal && removal_revision > 0)
                    directory.remove("i-1", removal_revision, std::nullopt);
                if (time_at < updates.size())
                    directory.update(updates[time_at]);
                if (time_at < updates.size() && random() % 3 == 0)
                    directory.update(updates[random() % (time_at + 1)]);
            }
            std::string out;
            directory.for_each_usable([&](const published_upstream& one) {
                out += std::to_string(*one.started_unix_ms) + '@' +
                       std::to_string(one.revision) + ' ';
            });
            return out;
        };
        const std::string first = apply_shuffled();
        REQUIRE(apply_shuffled() == first);
        REQUIRE(apply_shuffled() == first);
    }
}

// An outage of the store outlasts the upstreams' leases. When the store
// returns, all items have expired, though the upstreams are alive and report
// within two seconds.
TEST_CASE("item_expired_in_outage_removed_after_keep_until")
{
    upstream_directory directory;
    directory.update(upstream_at("i-1", 5));
    directory.update(upstream_at("i-2", 6));
    CHECK(directory.remove("i-1", 9, time_at(2s)) == upstream_change::none);
    CHECK(directory.remove("i-2", 9, time_at(2s)) == upstream_change::none);
    CHECK(directory.usable_count() == 2);
    directory.update(upstream_at("i-1", 12));
    std::vector<std::string> removed_names;
    directory.remove_expired(time_at(1999ms), removed_names);
    CHECK(removed_names.empty());
    directory.remove_expired(time_at(2s), removed_names);
    CHECK(removed_names == std::vector<std::string>{"i-2"});
    CHECK(directory.usable_count() == 1);
}

// Another service answers at the address of an upstream that has ended. That
// service must get no further requests until the upstream is published again.
TEST_CASE("misdirected_upstream_unusable_until_published")
{
    upstream_directory directory;
    const published_upstream entry = upstream_at("i-1", 5);
    directory.update(entry);
    CHECK(directory.mark_misdirected(entry.id) == upstream_change::left);
    CHECK(directory.find_usable(entry.id) == nullptr);
    CHECK(directory.update(upstream_at("i-1", 6)) == upstream_change::joined);
}

// A data centre whose region isn't listed would count as near.
TEST_CASE("region_of_unlisted_data_centre_is_no_region")
{
    const region_map regions = {
        {"hall", "west"}, {"yard", "west"}, {"quay", "east"}};
    const base::data_centre_id hall("hall");
    CHECK(spans_regions(regions));
    CHECK_FALSE(spans_regions({{"hall", "west"}, {"yard", "west"}}));
    CHECK_FALSE(spans_regions({}));
    CHECK(same_region(regions, hall, base::data_centre_id("yard")));
    CHECK_FALSE(same_region(regions, hall, base::data_centre_id("quay")));
    CHECK_FALSE(same_region(regions, hall, base::data_centre_id("pier")));
}

// If both the route and the workspace name regions, both restrict.
TEST_CASE("regions_of_route_and_workspace_both_restrict")
{
    const region_map regions = {{"hall", "west"},
                                {"yard", "west"},
                                {"quay", "east"},
                                {"mill", "north"}};
    const base::data_centre_id hall("hall");
    const base::data_centre_id quay("quay");
    route matched_route;
    workspace owner;
    CHECK(
        data_centre_constraint_of(matched_route, &owner, regions).allows(hall));
    CHECK(data_centre_constraint_of(matched_route, nullptr, {}).allows(hall));
    matched_route.regions = {"west", "east"};
    CHECK(data_centre_constraint_of(matched_route, nullptr, regions)
              .allows(hall));
    CHECK_FALSE(data_centre_constraint_of(matched_route, nullptr, regions)
                    .allows(base::data_centre_id("mill")));
    owner.regions = {"east", "north"};
    CHECK(
        data_centre_constraint_of(matched_route, &owner, regions).allows(quay));
    CHECK_FALSE(
        data_centre_constraint_of(matched_route, &owner, regions).allows(hall));
    owner.regions = {"nowhere"};
    CHECK_FALSE(
        data_centre_constraint_of(matched_route, &owner, regions).allows(quay));
    // A data centre that the settings don't name is not allowed.
    CHECK_FALSE(data_centre_constraint_of(matched_route, nullptr, regions)
                    .allows(base::data_centre_id("new")));
}

TEST_CASE("several_regions_data_centres_at_three_distances")
{
    const region_distances distances(
        base::data_centre_id("hall"),
        {{"hall", "west"}, {"yard", "west"}, {"quay", "east"}});
    const auto to = [&](const char* name) {
        return distances.to(base::data_centre_id(name));
    };
    CHECK(distances.spans_regions());
    CHECK(to("hall") == distance::own_data_centre);
    CHECK(to("yard") == distance::own_region);
    CHECK(to("quay") == distance::other_region);
    CHECK(to("new") == distance::other_region);
}

// Deployments of one region, or without regions, know two distances.
TEST_CASE("single_region_no_data_centre_in_another_region")
{
    const base::data_centre_id hall("hall");
    for (const region_map& regions :
         {region_map(), region_map{{"hall", "west"}, {"yard", "west"}}}) {
        const region_distances distances(hall, regions);
        CHECK_FALSE(distances.spans_regions());
        CHECK(distances.to(hall) == distance::own_data_centre);
        CHECK(distances.to(base::data_centre_id("new")) ==
              distance::own_region);
    }
}

} // namespace greengagedrum::routing
