// The scheduler under random arrivals and failures, checked after every step.
//
// GGD_RANDOM_STEPS sets the number of steps (default 200,000). A failed check
// prints the seed; GGD_RANDOM_SEED runs that seed alone.
#include <greengagedrum/delivery/test/random_run.hpp>

#include <cstdlib>

namespace greengagedrum::delivery
{

namespace
{

std::uint64_t environment_number(const char* name, std::uint64_t fallback)
{
    const char* text = std::getenv(name);
    return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

} // namespace

// Callers of all tiers send requests while upstreams refuse connections, break
// streams, go silent and leave, a peer reports its load, and callers
// disconnect. For every order of events, each request ends once with a true
// verdict, and no higher tier is shed while a lower tier runs.
TEST_CASE("random_events_every_step_invariants_hold")
{
    constexpr std::uint64_t steps_per_seed = 5000;
    const std::uint64_t steps = environment_number("GGD_RANDOM_STEPS", 200'000);
    const std::uint64_t fixed_seed = environment_number("GGD_RANDOM_SEED", 0);
    const std::uint64_t first = fixed_seed == 0 ? 1 : fixed_seed;
    const std::uint64_t last =
        fixed_seed == 0 ? std::max<std::uint64_t>(1, steps / steps_per_seed)
                        : fixed_seed;
    std::uint64_t shed_count = 0;
    scheduler_counters total;
    for (std::uint64_t seed = first; seed <= last; ++seed) {
        random_run run(seed);
        for (run.steps = 0; run.steps < steps_per_seed; ++run.steps)
            run.step_random_event();
        run.drain();
        shed_count += run.shed_count;
        const scheduler_counters& counters = run.core.counters();
        total.answered += counters.answered;
        total.overdrafts += counters.overdrafts;
        total.forced += counters.forced;
        total.preempted += counters.preempted;
    }
    // Each outcome must have occurred at least once for the test to cover it.
    CHECK(shed_count > 0);
    CHECK(total.answered > 0);
    CHECK(total.overdrafts > 0);
    CHECK(total.forced > 0);
    CHECK(total.preempted > 0);
    MESSAGE("answered ",
            total.answered,
            ", shed ",
            shed_count,
            ", overdrafts ",
            total.overdrafts,
            ", forced ",
            total.forced,
            ", preempted ",
            total.preempted);
}

} // namespace greengagedrum::delivery
