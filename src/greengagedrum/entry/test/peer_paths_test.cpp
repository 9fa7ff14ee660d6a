// When an entry takes itself for cut off, and which peers it then uses.
#include <greengagedrum/entry/peer_paths.hpp>

#include <doctest/doctest.h>

#include <set>

namespace greengagedrum::entry
{

namespace
{

using namespace std::chrono_literals;

const base::upstream_class_id engines("engines");
const base::upstream_class_id services("services");
const base::data_centre_id hall("hall");
const base::data_centre_id yard("yard");
const routing::data_centre_constraint anywhere;

base::upstream_id upstream(int number)
{
    return base::upstream_id("i-" + std::to_string(number));
}

struct paths_fixture {
    base::instant now{1h};
    std::vector<reachable_peer> live;
    int changes = 0;
    peer_paths paths{
        "entry-1",
        "10.0.0.1",
        {[this] { return this->now; },
         [this] { return this->live; },
         [this](base::upstream_class_id, bool) { this->changes += 1; }}};

    paths_fixture()
    {
        for (int each = 2; each < 6; ++each)
            this->live.push_back(
                {{"10.0.0." + std::to_string(each), 7600}, hall, true});
        this->live.push_back({{"10.0.1.1", 7600}, yard, false});
    }

    void fail(int number, base::upstream_class_id service = engines)
    {
        this->paths.on_connect_failed(service, upstream(number), this->now);
    }
};

} // namespace

TEST_CASE_FIXTURE(paths_fixture, "one_upstream_out_of_reach_is_not_a_cut")
{
    for (int tries = 0; tries < 5; ++tries)
        this->fail(1);
    CHECK_FALSE(this->paths.is_cut_off(engines));
}

TEST_CASE_FIXTURE(paths_fixture, "two_upstreams_out_of_reach_are_a_cut")
{
    this->fail(1);
    this->fail(2);
    CHECK(this->paths.is_cut_off(engines));
    CHECK_FALSE(this->paths.is_cut_off(services));
    this->fail(9, services); // its only upstream
    CHECK(this->paths.is_cut_off(services));
}

TEST_CASE_FIXTURE(paths_fixture, "connect_between_two_failures_refutes_a_cut")
{
    this->fail(1);
    this->now += 10ms;
    this->paths.on_connected(engines, this->now);
    this->fail(2);
    CHECK_FALSE(this->paths.is_cut_off(engines));
}

TEST_CASE_FIXTURE(paths_fixture, "cut_ends_with_a_connect_begun_after_it")
{
    this->fail(1);
    this->fail(2);
    this->paths.on_connected(engines, this->now - 50ms);
    CHECK(this->paths.is_cut_off(engines));
    CHECK(this->paths.services_to_check().empty());
    this->now += 300ms;
    CHECK(this->paths.services_to_check().size() == 1);
    this->paths.on_connected(engines, this->now);
    CHECK_FALSE(this->paths.is_cut_off(engines));
    CHECK(this->changes == 2);
}

TEST_CASE_FIXTURE(paths_fixture,
                  "sends_spread_over_near_peers_then_farther_ones")
{
    std::vector<peer_paths::peer_use> uses;
    std::set<std::string> used;
    for (int each = 0; each < 4; ++each) {
        const auto chosen = this->paths.choose_peer(engines, anywhere, {});
        REQUIRE(chosen);
        used.insert(chosen->ip);
        uses.push_back(this->paths.use_peer(*chosen));
    }
    CHECK(used.size() == 4);
    CHECK_FALSE(used.contains("10.0.1.1"));
    for (int each = 0; each < 16; ++each)
        uses.push_back(this->paths.use_peer(
            *this->paths.choose_peer(engines, anywhere, {})));
    uses.clear();
    CHECK(this->paths.choose_peer(engines, anywhere, {})->ip != "10.0.1.1");
}

TEST_CASE_FIXTURE(paths_fixture,
                  "peer_that_could_not_help_is_left_alone_a_while")
{
    const auto first = this->paths.choose_peer(engines, anywhere, {});
    REQUIRE(first);
    this->paths.on_peer_failed(
        *first, engines, relay::tunnel_failure::rejected);
    CHECK(this->paths.choose_peer(engines, anywhere, {}) != first);
    this->now += 1100ms;
    CHECK(this->paths.choose_peer(engines, anywhere, {}) == first);
}

// It is cut off from the upstreams of that service only.
TEST_CASE_FIXTURE(paths_fixture,
                  "peer_that_could_not_help_serves_other_services")
{
    const auto first = this->paths.choose_peer(engines, anywhere, {});
    REQUIRE(first);
    this->paths.on_peer_failed(
        *first, engines, relay::tunnel_failure::rejected);
    CHECK(this->paths.choose_peer(engines, anywhere, {}) != first);
    CHECK(this->paths.choose_peer(services, anywhere, {}) == first);
}

// It connected others lately, so that the upstream is at fault.
TEST_CASE_FIXTURE(paths_fixture, "peer_that_reaches_others_is_used_again")
{
    const auto first = this->paths.choose_peer(engines, anywhere, {});
    REQUIRE(first);
    this->paths.on_peer_connected(*first, engines);
    this->paths.on_peer_failed(
        *first, engines, relay::tunnel_failure::upstream_unreachable);
    CHECK(this->paths.choose_peer(engines, anywhere, {}) == first);
}

TEST_CASE_FIXTURE(paths_fixture, "request_goes_only_to_peers_where_it_may")
{
    routing::data_centre_constraint only_yard;
    only_yard.restricted = true;
    only_yard.data_centres = {yard};
    const auto chosen = this->paths.choose_peer(engines, only_yard, {});
    REQUIRE(chosen);
    CHECK(chosen->ip == "10.0.1.1");
    const std::vector<base::ip_endpoint> tried{*chosen};
    CHECK_FALSE(this->paths.choose_peer(engines, only_yard, tried));
}

// Failure guarded against: the bytes of a tunnelled request cross the link
// between regions twice while a peer of the own region could help, however
// busy.
TEST_CASE_FIXTURE(paths_fixture, "peer_of_other_region_only_after_own_region")
{
    this->live.clear();
    this->live.push_back({{"10.0.2.1", 7600}, yard, false, true});
    this->live.push_back({{"10.0.1.1", 7600}, yard, false});
    std::vector<peer_paths::peer_use> uses;
    for (int count = 0; count < 40; ++count) {
        const auto chosen = this->paths.choose_peer(engines, anywhere, {});
        REQUIRE(chosen);
        CHECK(chosen->ip == "10.0.1.1");
        uses.push_back(this->paths.use_peer(*chosen));
    }
    const std::vector<base::ip_endpoint> tried{{"10.0.1.1", 7600}};
    const auto chosen = this->paths.choose_peer(engines, anywhere, tried);
    REQUIRE(chosen);
    CHECK(chosen->ip == "10.0.2.1");
}

// Failure guarded against: a request that has lost its own path waits at the
// link of a congested peer as well.
TEST_CASE_FIXTURE(paths_fixture, "congested_peer_is_used_only_if_all_are")
{
    for (reachable_peer& one : this->live)
        one.congested = one.in_own_data_centre;
    const auto chosen = this->paths.choose_peer(engines, anywhere, {});
    REQUIRE(chosen);
    CHECK(chosen->ip == "10.0.1.1");
    CHECK(this->paths.choose_peer(
        engines, anywhere, std::vector<base::ip_endpoint>{*chosen}));
}

} // namespace greengagedrum::entry
