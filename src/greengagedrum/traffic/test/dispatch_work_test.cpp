// The work of a dispatcher with many upstreams and a long queue.
#include <greengagedrum/traffic/test/burst_run.hpp>

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

} // namespace greengagedrum::traffic
