// Tests callers' waiting times and slot use under a dispatcher.
#include <greengagedrum/dispatch/test/dispatch_simulation.hpp>

#include <doctest/doctest.h>

namespace greengagedrum::dispatch
{

namespace
{

using namespace std::chrono_literals;

simulation_result run_simulation(const simulation_settings& settings)
{
    return dispatch_simulation(settings).run();
}

} // namespace

// For five seconds, twice as many callers as four servers of six slots can
// answer come to 9, 86 or 295 entries, with work of 60 ms or 2 s. When each
// entry dispatched its own requests, a freed slot was passed around on load
// information older than the work: 11 of 24 slots were busy, and callers were
// refused for twenty seconds after the burst.
TEST_CASE("burst_keeps_slots_busy_and_queue_ends_with_it")
{
    for (const std::size_t members : {9U, 86U, 295U}) {
        for (const base::duration work :
             {base::duration(60ms), base::duration(2s)}) {
            simulation_settings settings;
            settings.members = members;
            settings.work = work;
            settings.length = 14s;
            const simulation_result result = run_simulation(settings);
            CAPTURE(members);
            CAPTURE(work.count());
            MESSAGE("busy ",
                    result.busy,
                    ", most on one ",
                    result.max_on_one_upstream,
                    ", last refusal ",
                    result.last_refused.count(),
                    " us after the burst, messages ",
                    result.messages);
            CHECK(result.busy > 0.9);
            CHECK(result.max_on_one_upstream <= settings.slots + 1);
            CHECK(result.last_refused < 3s);
            CHECK(result.sent_twice == 0);
            // With 9 entries, each has 90 requests a second of its own.
            if (members > 9)
                CHECK(result.messages < 100);
        }
    }
}

// The dispatcher is killed in the middle of a burst, and its successor starts
// with no state. Nothing runs twice, and no server gets much more than it can
// run, since the members' reports show what runs where.
TEST_CASE("killed_dispatcher_no_request_runs_twice")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        simulation_settings settings;
        settings.dispatcher_dies = true;
        settings.seed = seed;
        const simulation_result result = run_simulation(settings);
        CAPTURE(seed);
        CHECK(result.sent_twice == 0);
        CHECK(result.max_on_one_upstream <= settings.slots + 3);
        CHECK(result.busy > 0.75);
        CHECK(result.last_refused < 3s);
    }
}

// One message in five is lost. Each message carries the whole state, so the
// next one makes up for it.
TEST_CASE("lost_messages_no_request_lost")
{
    simulation_settings settings;
    settings.loss_rate = 0.2;
    settings.burst_load = 0.7;
    const simulation_result result = run_simulation(settings);
    CHECK(result.sent_twice == 0);
    CHECK(result.refused == 0);
    CHECK(result.answered + 60 > result.arrived);
}

} // namespace greengagedrum::dispatch
