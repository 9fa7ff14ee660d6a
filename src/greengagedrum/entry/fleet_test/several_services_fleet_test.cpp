// Requests of several services at members whose processes are killed, and whose
// dispatchers are frozen, in an order drawn from a seed. For some of the time,
// one entry gets most connections, and has many requests at its dispatcher.
#include <greengagedrum/entry/fleet_test/connection_skew_fleet.hpp>

#include <doctest/doctest.h>

#include <random>

namespace greengagedrum::entry::fleet_test
{

namespace
{

struct several_services_fixture {
    // Members are down while their dispatcher is frozen, so that it goes on
    // with the requests of processes that have ended.
    static connection_skew_plan random_plan(std::uint64_t seed)
    {
        std::mt19937_64 random_engine(seed);
        const auto between = [&random_engine](double least, double most) {
            return std::uniform_real_distribution(least, most)(random_engine);
        };
        connection_skew_plan out;
        out.seed = seed;
        out.entries = 40;
        out.data_centres = 4;
        out.regions = 1 + seed % 2;
        out.upstreams = 24;
        out.services = 2 + seed % 2;
        out.load = between(0.7, 1.4);
        out.seconds = 15;
        out.lost_share = between(0, 0.02);
        out.killed_share = between(0.3, 1);
        out.down_for = std::chrono::microseconds(
            static_cast<std::int64_t>(between(0.1, 0.8) * 1e6));
        out.frozen_for = between(0.2, 1.6);
        double at = between(3, 4);
        while (at < 13) {
            out.members_killed_at.push_back(at);
            out.frozen_at.push_back(at + between(-0.1, 0.6));
            at += between(1.5, 3);
        }
        return out;
    }
};

} // namespace

// Failure guarded against: a restarted member takes slots that its dispatcher
// gave to requests of the process before.
TEST_CASE_FIXTURE(
    several_services_fixture,
    "members_killed_while_dispatchers_frozen_send_to_own_services")
{
    constexpr std::uint64_t seeds = 40;
    std::uint64_t sends = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        CAPTURE(seed);
        const connection_skew_result result =
            connection_skew_fleet(random_plan(seed)).simulate();
        sends += result.sends;
        CHECK(result.sends_to_other_service == 0);
    }
    MESSAGE(sends, " sends of ", seeds, " seeds");
}

} // namespace greengagedrum::entry::fleet_test
