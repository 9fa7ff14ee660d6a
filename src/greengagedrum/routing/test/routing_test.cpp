// Which route, workspace and upstream a request may have.
#include <greengagedrum/routing/route_table.hpp>
#include <greengagedrum/routing/upstream_directory.hpp>

#include <doctest/doctest.h>

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
    out.targets.push_back({base::class_id("models"), "models", 3});
    out.targets.push_back({base::class_id("desk"), "desk", 1});
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
    out.service = base::class_id("models");
    out.address = {"10.0.0.1", 80};
    out.slots = 5;
    out.revision = revision;
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
    CHECK(table.urgency(routes[0], owner) == 0);
    CHECK(table.urgency(routes[2], owner) == 1);
    CHECK(table.urgency(routes[1], owner) == 2);
}

TEST_CASE_FIXTURE(table_fixture, "workspace_priority_goes_before_the_routes")
{
    this->config.workspaces[1].priority = 3;
    const route_table table = this->table();
    const workspace* gate = table.find_workspace("gate-key");
    const workspace* office = table.find_workspace("office-key");
    CHECK(table.urgency(this->config.routes[1], gate) <
          table.urgency(this->config.routes[0], office));
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
    CHECK(tested.learn(entry) == upstream_change::joined);
    entry.leaving = true;
    entry.revision = 8;
    CHECK(tested.learn(entry) == upstream_change::left);
    entry.leaving = false;
    entry.revision = 9;
    CHECK(tested.learn(entry) == upstream_change::none);
    CHECK(tested.find(entry.id) == nullptr);
}

TEST_CASE("older_news_of_a_removed_upstream_changes_nothing")
{
    upstream_directory tested;
    CHECK(tested.removed("i-1", 7, std::nullopt) == upstream_change::none);
    CHECK(tested.learn(upstream_at("i-1", 6)) == upstream_change::none);
    CHECK(tested.usable_count() == 0);
    CHECK(tested.learn(upstream_at("i-1", 8)) == upstream_change::joined);
}

// The store was away for longer than the upstreams' leases. On its return all
// entries are gone, though their upstreams live and report within two seconds.
TEST_CASE("lapse_in_an_outage_is_waited_for_and_then_believed")
{
    upstream_directory tested;
    tested.learn(upstream_at("i-1", 5));
    tested.learn(upstream_at("i-2", 6));
    CHECK(tested.removed("i-1", 9, at(2s)) == upstream_change::none);
    CHECK(tested.removed("i-2", 9, at(2s)) == upstream_change::none);
    CHECK(tested.usable_count() == 2);
    tested.learn(upstream_at("i-1", 12));
    std::vector<std::string> gone;
    tested.expire(at(1999ms), gone);
    CHECK(gone.empty());
    tested.expire(at(2s), gone);
    CHECK(gone == std::vector<std::string>{"i-2"});
    CHECK(tested.usable_count() == 1);
}

// Another service answers at the address of an upstream that is gone. It gets
// nothing more until it is published anew.
TEST_CASE("upstream_whose_address_is_anothers_is_out_until_published")
{
    upstream_directory tested;
    const published_upstream entry = upstream_at("i-1", 5);
    tested.learn(entry);
    CHECK(tested.misdirected(entry.id) == upstream_change::left);
    CHECK(tested.find(entry.id) == nullptr);
    CHECK(tested.learn(upstream_at("i-1", 6)) == upstream_change::joined);
}

} // namespace greengagedrum::routing
