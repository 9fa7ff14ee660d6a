// Which route, workspace and upstream a request may have.
#include <greengagedrum/routing/data_centre_constraint.hpp>
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

workspace workspace_named(const char* name, std::optional<std::uint32_t> own)
{
    workspace out;
    out.name = name;
    out.id = base::workspace_id(out.name);
    out.keys = {out.name + "-key"};
    out.priority = own;
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

published_upstream life_at(std::uint64_t started_unix_ms,
                           std::uint64_t revision)
{
    published_upstream out = upstream_at("i-1", revision);
    out.started_unix_ms = started_unix_ms;
    out.id = incarnation_id(out.name, started_unix_ms);
    return out;
}

base::instant at(base::duration passed)
{
    return base::instant(1h + passed);
}

} // namespace

TEST_CASE_FIXTURE(table_fixture, "path_below_two_prefixes_takes_the_longer")
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

// Every workspace was given priority 1, meant to order workspaces among each
// other. Taken in place of the route's, it made dossiers wait behind shift
// notes in each burst.
TEST_CASE_FIXTURE(table_fixture, "workspaces_alike_leave_order_to_routes")
{
    const route_table table = this->table();
    const workspace* owner = table.find_workspace("gate-key");
    REQUIRE(owner != nullptr);
    const auto& routes = this->config.routes;
    CHECK(table.effective_priority(routes[0], owner) == 0);
    CHECK(table.effective_priority(routes[2], owner) == 1);
    CHECK(table.effective_priority(routes[1], owner) == 2);
}

TEST_CASE_FIXTURE(table_fixture, "workspace_priority_goes_before_the_routes")
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

// An upstream says that it leaves; a report of it from before is written late.
// Believed, it would bring work to an upstream that is about to go.
TEST_CASE("upstream_that_leaves_and_reports_late_stays_out")
{
    upstream_directory tested;
    published_upstream entry = upstream_at("i-1", 5);
    CHECK(tested.update(entry) == upstream_change::joined);
    entry.leaving = true;
    entry.revision = 8;
    CHECK(tested.update(entry) == upstream_change::left);
    entry.leaving = false;
    entry.revision = 9;
    CHECK(tested.update(entry) == upstream_change::none);
    CHECK(tested.find_usable(entry.id) == nullptr);
}

TEST_CASE("older_news_of_a_removed_upstream_changes_nothing")
{
    upstream_directory tested;
    CHECK(tested.remove("i-1", 7, std::nullopt) == upstream_change::none);
    CHECK(tested.update(upstream_at("i-1", 6)) == upstream_change::none);
    CHECK(tested.usable_count() == 0);
    CHECK(tested.update(upstream_at("i-1", 8)) == upstream_change::joined);
}

// An upstream crashes and starts again under its name. What was learnt of it
// before (it hung, it was slow, six requests run there) is not true of it now.
TEST_CASE("upstream_that_starts_again_is_another_to_those_who_send")
{
    upstream_directory tested;
    const published_upstream first = life_at(1'000, 5);
    const published_upstream second = life_at(2'000, 9);
    CHECK(first.id != second.id);
    CHECK(tested.update(first) == upstream_change::joined);
    CHECK(tested.update(second) == upstream_change::restarted);
    CHECK(tested.find_usable(first.id) == nullptr);
    REQUIRE(tested.find_usable(second.id) != nullptr);
    CHECK(tested.find_usable(second.id)->name == first.name);
    CHECK(tested.usable_count() == 1);
}

// It said that it leaves, ended, and starts again: the new one is to get work.
TEST_CASE("upstream_that_left_returns_with_its_next_life")
{
    upstream_directory tested;
    published_upstream leaving = life_at(1'000, 5);
    leaving.leaving = true;
    tested.update(leaving);
    CHECK(tested.update(life_at(1'000, 6)) == upstream_change::none);
    CHECK(tested.update(life_at(2'000, 8)) == upstream_change::joined);
    // A last report of the life before, written late.
    CHECK(tested.update(life_at(1'000, 9)) == upstream_change::none);
    CHECK(tested.find_usable(life_at(2'000, 8).id) != nullptr);
}

// News of three lives, their leaving and a removal come from the store and from
// peers, in any order and some of them twice. All entries end with the same.
TEST_CASE("news_of_lives_in_any_order_ends_alike")
{
    std::mt19937_64 dice(7);
    for (int round = 0; round < 2'000; ++round) {
        std::vector<published_upstream> told;
        std::uint64_t removed_at = 0;
        for (std::uint64_t revision = 1; revision <= 8; ++revision) {
            if (dice() % 8 == 0) {
                removed_at = revision;
                continue;
            }
            told.push_back(life_at(1'000 + dice() % 3, revision));
            told.back().leaving = dice() % 6 == 0;
        }
        const auto play = [&] {
            upstream_directory tested;
            std::shuffle(told.begin(), told.end(), dice);
            const std::size_t removal = dice() % (told.size() + 1);
            for (std::size_t at = 0; at <= told.size(); ++at) {
                if (at == removal && removed_at > 0)
                    tested.remove("i-1", removed_at, std::nullopt);
                if (at < told.size())
                    tested.update(told[at]);
                if (at < told.size() && dice() % 3 == 0)
                    tested.update(told[dice() % (at + 1)]);
            }
            std::string out;
            tested.for_each_usable([&](const published_upstream& one) {
                out += std::to_string(*one.started_unix_ms) + '@' +
                       std::to_string(one.revision) + ' ';
            });
            return out;
        };
        const std::string first = play();
        REQUIRE(play() == first);
        REQUIRE(play() == first);
    }
}

// The store was away for longer than the upstreams' leases. On its return all
// entries are gone, though their upstreams live and report within two seconds.
TEST_CASE("lapse_in_an_outage_is_waited_for_and_then_believed")
{
    upstream_directory tested;
    tested.update(upstream_at("i-1", 5));
    tested.update(upstream_at("i-2", 6));
    CHECK(tested.remove("i-1", 9, at(2s)) == upstream_change::none);
    CHECK(tested.remove("i-2", 9, at(2s)) == upstream_change::none);
    CHECK(tested.usable_count() == 2);
    tested.update(upstream_at("i-1", 12));
    std::vector<std::string> gone;
    tested.remove_expired(at(1999ms), gone);
    CHECK(gone.empty());
    tested.remove_expired(at(2s), gone);
    CHECK(gone == std::vector<std::string>{"i-2"});
    CHECK(tested.usable_count() == 1);
}

// Another service answers at the address of an upstream that is gone. It gets
// nothing more until it is published anew.
TEST_CASE("upstream_whose_address_is_anothers_is_out_until_published")
{
    upstream_directory tested;
    const published_upstream entry = upstream_at("i-1", 5);
    tested.update(entry);
    CHECK(tested.mark_misdirected(entry.id) == upstream_change::left);
    CHECK(tested.find_usable(entry.id) == nullptr);
    CHECK(tested.update(upstream_at("i-1", 6)) == upstream_change::joined);
}

// Where route and workspace both name regions, both bind.
TEST_CASE("homes_are_where_route_and_workspace_allow")
{
    const region_map regions = {{"hall", "west"},
                                {"yard", "west"},
                                {"quay", "east"},
                                {"mill", "north"}};
    const base::data_centre_id hall("hall");
    const base::data_centre_id quay("quay");
    route of;
    workspace owner;
    CHECK(data_centre_constraint_of(of, &owner, regions).allows(hall));
    CHECK(data_centre_constraint_of(of, nullptr, {}).allows(hall));
    of.regions = {"west", "east"};
    CHECK(data_centre_constraint_of(of, nullptr, regions).allows(hall));
    CHECK_FALSE(data_centre_constraint_of(of, nullptr, regions)
                    .allows(base::data_centre_id("mill")));
    owner.regions = {"east", "north"};
    CHECK(data_centre_constraint_of(of, &owner, regions).allows(quay));
    CHECK_FALSE(data_centre_constraint_of(of, &owner, regions).allows(hall));
    owner.regions = {"nowhere"};
    CHECK_FALSE(data_centre_constraint_of(of, &owner, regions).allows(quay));
    // A data centre that the settings don't name is no home.
    CHECK_FALSE(data_centre_constraint_of(of, nullptr, regions)
                    .allows(base::data_centre_id("new")));
}

} // namespace greengagedrum::routing
