// How a limiter handles the replacement of a dispatcher.
#include <greengagedrum/quota/test/limiter_fixture.hpp>

#include <doctest/doctest.h>

#include <algorithm>

namespace greengagedrum::quota
{

using namespace std::chrono_literals;

// The dispatcher of a data centre stops. Another entry takes over, so the peers
// forget the former one; but it still has requests in progress and is heard
// until they have ended. If each of its messages counted its recent usage
// again, requests within the limits would be refused in all data centres
// (13,617 requests in one day).
TEST_CASE_FIXTURE(limiter_fixture, "peer_forgotten_and_heard_again_counts_once")
{
    CHECK(this->try_send(this->peer, 400));
    for (int message = 0; message < 30; ++message) {
        this->now += 100ms;
        this->receive_peer_report(this->peer.own_usage(this->now), true);
        this->own.forget_peer(base::slot_id("peer"));
    }
    CHECK(this->try_send(this->own, 490));
    CHECK_FALSE(this->try_send(this->own, 20));
}

// The former dispatcher takes over again a moment later, since its successor
// died too. What it has sent since counts in full.
TEST_CASE_FIXTURE(limiter_fixture, "peer_dispatching_again_new_usage_counts")
{
    CHECK(this->try_send(this->peer, 400));
    this->receive_peer_report(this->peer.own_usage(this->now), false);
    this->own.forget_peer(base::slot_id("peer"));
    this->now += 100ms;
    this->peer.set_tolerance({8s, 0.25, 0});
    this->peer.restart(this->now);
    CHECK(this->try_send(this->peer, 20));
    this->receive_peer_report(this->peer.own_usage(this->now), false);
    CHECK_FALSE(this->try_send(this->own, 490));
    CHECK(this->try_send(this->own, 470));
}

// The dispatcher of a data centre dies, and its successor takes over with the
// usage that it was told last. Its buckets start at the former's levels.
TEST_CASE_FIXTURE(limiter_fixture, "successor_takes_over_known_window")
{
    CHECK(this->try_send(this->peer, 500));
    this->now += 2s;
    usage_limiter next = this->fresh_limiter({8s, 0, 0});
    next.take_over(base::slot_id("peer"),
                   base::incarnation{2},
                   this->peer.window_usage(this->now),
                   this->now);
    CHECK(this->try_send(next, 390));
    CHECK_FALSE(this->try_send(next, 20));
    // The former's usage leaves the window at the same time as it would there.
    this->now += 6250ms;
    CHECK(this->try_send(next, 490));
}

// Requests that wait at a dispatcher when it dies are submitted to its
// successor and counted there.
TEST_CASE_FIXTURE(limiter_fixture, "requests_waiting_at_former_not_counted")
{
    CHECK_FALSE(this->peer.try_acquire(planning, 400, 0, this->now));
    usage_limiter next = this->fresh_limiter({8s, 0, 0});
    next.take_over(base::slot_id("peer"),
                   base::incarnation{2},
                   this->peer.window_usage(this->now),
                   this->now);
    CHECK(this->try_send(next, 800));
}

// The successor hears usage from a peer that the handover already included.
TEST_CASE_FIXTURE(limiter_fixture, "usage_handed_over_counts_once")
{
    CHECK(this->try_send(this->own, 300));
    this->exchange_reports();
    CHECK(this->try_send(this->peer, 200));
    usage_limiter next = this->fresh_limiter({8s, 0, 0});
    next.take_over(base::slot_id("peer"),
                   base::incarnation{2},
                   this->peer.window_usage(this->now),
                   this->now);
    next.on_peer_report(base::slot_id("own"),
                        base::incarnation{1},
                        this->own.own_usage(this->now),
                        false,
                        this->now);
    CHECK(this->try_send(next, 310));
    CHECK_FALSE(this->try_send(next, 20));
}

// Members report to another dispatcher across a partition, and both dispatchers
// give out the same limit.
TEST_CASE_FIXTURE(limiter_fixture, "unreported_members_share_reserved")
{
    this->own.set_unreported_member_share(0.5, this->now);
    this->own.update_silent_peers(this->now);
    CHECK(this->try_send(this->own, 400));
    CHECK_FALSE(this->try_send(this->own, 60));
    this->own.set_unreported_member_share(0, this->now);
    this->own.update_silent_peers(this->now);
    this->now += 9s;
    CHECK(this->try_send(this->own, 800));
}

// The same while another data centre's dispatcher is heard: that peer's own
// share stays with it.
TEST_CASE_FIXTURE(limiter_fixture,
                  "unreported_members_share_leaves_peer_shares")
{
    this->exchange_reports();
    this->own.set_unreported_member_share(0.5, this->now);
    this->own.update_silent_peers(this->now);
    CHECK(this->try_send(this->own, 600));
    CHECK_FALSE(this->try_send(this->own, 60));
}

TEST_CASE("workspaces_closest_to_limits_handed_over")
{
    constexpr std::uint64_t workspaces = 2000;
    const base::workspace_id busy(std::uint64_t{1234});
    base::instant now{1h};
    usage_limiter former(base::instant(1h - 1min));
    former.set_tolerance({8s, 0, 0});
    routing::configuration config;
    for (std::uint64_t id = 1; id <= workspaces; ++id) {
        routing::workspace workspace;
        workspace.id = base::workspace_id(id);
        workspace.limit = {rate, burst, true, 0};
        config.workspaces.push_back(workspace);
    }
    former.set_limits(config, now);
    now += 2min; // the buckets are full
    for (const routing::workspace& workspace : config.workspaces) {
        const double cost = workspace.id == busy ? 800 : 10;
        REQUIRE_FALSE(former.try_acquire(workspace.id, cost, 0, now));
        former.on_sent(workspace.id, cost, now);
    }
    const std::vector<workspace_usage> reported = former.window_usage(now);
    CHECK(reported.size() == 300);
    CHECK(std::any_of(
        reported.begin(), reported.end(), [&](const workspace_usage& usage) {
            return usage.workspace == busy && usage.sent_in_window == 800;
        }));
}

} // namespace greengagedrum::quota
