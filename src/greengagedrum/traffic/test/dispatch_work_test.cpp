// The work of a dispatcher with many upstreams and a long queue.
#include <greengagedrum/traffic/test/burst_run.hpp>
#include <greengagedrum/traffic/test/scheduler_fixture.hpp>

#include <doctest/doctest.h>

namespace greengagedrum::traffic
{

namespace
{

// One dispatcher of a data centre of 49 entries, with the upstreams of all six.
burst_settings one_dispatcher()
{
    burst_settings out;
    out.entries = 1;
    out.engines = 320;
    out.slots = 4;
    out.slowdown = 2;
    out.data_centres = 6;
    out.warmup = std::chrono::seconds(3);
    out.length = std::chrono::seconds(4);
    return out;
}

} // namespace

// Guards against a dispatcher that in a burst rates all upstreams for every
// queued request at each event, and has no processor time left to dispatch.
TEST_CASE("burst_before_320_engines_few_upstreams_rated_for_each_request")
{
    for (const double load : {0.7, 1.2, 2.0}) {
        burst_settings settings = one_dispatcher();
        settings.load_factor = load;
        const burst_result result = simulate_burst(settings);
        const auto requests = static_cast<double>(result.requests);
        const double rated =
            static_cast<double>(result.upstreams_rated) / requests;
        const double passes =
            static_cast<double>(result.dispatch_passes) / requests;
        CAPTURE(load);
        MESSAGE(rated,
                " upstreams rated and ",
                passes,
                " passes a request, in time ",
                result.in_time_share(0));
        CHECK(rated < 2 * static_cast<double>(settings.engines));
    }
}

// Guards against a queue of which each request looks at all upstreams that were
// lost.
TEST_CASE_FIXTURE(scheduler_fixture,
                  "queue_before_lost_engines_looks_at_few_of_them")
{
    constexpr int engine_count = 100;
    constexpr int lost_count = 30;
    this->upstreams(engine_count, 1);
    std::vector<send_request> running;
    for (int number = 0; number < engine_count; ++number) {
        this->arrive(stream_facts());
        running.push_back(this->sent());
    }
    for (int number = 0; number < lost_count; ++number) {
        const send_request lost = running.back();
        running.pop_back();
        this->step(connect_failed{lost.request, lost.send});
    }
    for (int number = 0; number < engine_count; ++number)
        this->arrive(stream_facts());
    REQUIRE(this->tested.waiting() > engine_count);
    const std::uint64_t before = this->tested.counters().upstreams_rated;
    constexpr int answers = 10;
    for (int number = 0; number < answers; ++number) {
        const send_request one = running.back();
        running.pop_back();
        this->step(answer_received{one.request, one.send, true});
        CHECK(this->last_action<send_request>() != nullptr);
    }
    CHECK(this->tested.counters().upstreams_rated - before <
          answers * engine_count);
}

} // namespace greengagedrum::traffic
