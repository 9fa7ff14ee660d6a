// Compares the production queue policy with first come first served and strict
// priority in virtual time.
//
// Two upstreams with four slots each; with more than four streams an upstream
// divides its speed among them. The load is mixed: 0.8 of the capacity for 30
// s, a burst for 60 s, 0.8 again for 60 s, then no arrivals until all requests
// have ended.
#include <greengagedrum/delivery/test/policy_run.hpp>

namespace greengagedrum::delivery
{

namespace
{

// The summed results of one policy over several seeds. A seed gives every
// policy the same arrivals.
struct run_series {
    std::array<tier_result, base::tier_count> results;
    std::uint64_t shed_before_lower = 0; // while a lower tier ran
    scheduler_counters counters;

    run_series(policy queue_policy, burst burst_kind)
    {
        constexpr std::uint64_t seeds = 8;
        for (std::uint64_t seed = 0; seed < seeds; ++seed) {
            policy_run run(queue_policy, burst_kind, seed);
            run.run();
            this->add(run);
        }
    }

    void add(const policy_run& run)
    {
        for (std::size_t tier = 0; tier < base::tier_count; ++tier) {
            tier_result& total = this->results[tier];
            const tier_result& added = run.results[tier];
            total.arrivals += added.arrivals;
            total.in_time += added.in_time;
            total.late += added.late;
            total.not_run += added.not_run;
            total.waits.insert(
                total.waits.end(), added.waits.begin(), added.waits.end());
        }
        this->shed_before_lower += run.shed_before_lower;
        const scheduler_counters& added = run.core.counters();
        this->counters.prefill_wasted += added.prefill_wasted;
        this->counters.overdrafts += added.overdrafts;
        this->counters.forced += added.forced;
        this->counters.preempted += added.preempted;
    }

    std::string table()
    {
        std::string out;
        for (std::size_t tier = 0; tier < base::tier_count; ++tier) {
            tier_result& total = this->results[tier];
            char line[160];
            std::snprintf(line,
                          sizeof(line),
                          "\n  %-12s arrived %5lu in time %5lu late %5lu "
                          "not run %5lu wait p50 %6.2f p99 %6.2f s",
                          std::string(to_string(base::all_tiers[tier])).c_str(),
                          total.arrivals,
                          total.in_time,
                          total.late,
                          total.not_run,
                          total.wait_quantile(0.5),
                          total.wait_quantile(0.99));
            out += line;
        }
        const auto number = [](std::uint64_t value) {
            return std::to_string(value);
        };
        return out + "\n  prefill wasted " +
               number(this->counters.prefill_wasted) +
               ", shed while a lower tier ran " +
               number(this->shed_before_lower) + ", overdrafts " +
               number(this->counters.overdrafts) + ", forced " +
               number(this->counters.forced) + ", preempted " +
               number(this->counters.preempted);
    }
};

struct comparison {
    run_series production;
    run_series reject_at_deadline;
    run_series first_come;
    run_series strict;

    explicit comparison(burst burst_kind)
        : production(policy::production, burst_kind),
          reject_at_deadline(policy::reject_at_deadline, burst_kind),
          first_come(policy::first_come, burst_kind),
          strict(policy::strict, burst_kind)
    {
        MESSAGE("production", this->production.table());
        MESSAGE("production, rejecting only at deadlines",
                this->reject_at_deadline.table());
        MESSAGE("first come first served", this->first_come.table());
        MESSAGE("strict priority", this->strict.table());
    }

    std::uint64_t urgent_in_time(const run_series& series) const
    {
        return series.results[0].in_time;
    }
};

} // namespace

// The load is twice the capacity in all tiers. With first come first served,
// urgent requests wait behind long requests of lower tiers; with strict
// priority they wait until a long request ends.
TEST_CASE("burst_in_all_tiers_urgent_dispatched_at_once")
{
    comparison run(burst::all_tiers);
    CHECK(run.production.shed_before_lower == 0);
    CHECK(run.urgent_in_time(run.production) >= run.urgent_in_time(run.strict));
    CHECK(run.urgent_in_time(run.production) >
          run.urgent_in_time(run.first_come));
    CHECK(run.production.results[0].wait_quantile(0.5) < 0.1);
    CHECK(run.production.results[3].in_time ==
          run.production.results[3].arrivals);
}

// Urgent requests alone need 1.6 times the capacity for a minute, so some must
// be shed, and lower tiers must not run meanwhile. If requests were kept in the
// queue in order until their deadline, most would start too late.
TEST_CASE("burst_of_urgent_not_shed_before_lower_tier")
{
    comparison run(burst::urgent_over_capacity);
    CHECK(run.production.shed_before_lower == 0);
    CHECK(run.urgent_in_time(run.production) >
          2 * run.urgent_in_time(run.strict));
    CHECK(run.production.results[3].in_time ==
          run.production.results[3].arrivals);
}

// Urgent requests need 0.85 of the capacity for a minute, and the other tiers
// need more than the remainder.
TEST_CASE("urgent_within_capacity_all_in_time")
{
    comparison run(burst::urgent_within_capacity);
    CHECK(run.production.shed_before_lower == 0);
    CHECK(run.urgent_in_time(run.production) >= run.urgent_in_time(run.strict));
    CHECK(run.production.results[3].in_time ==
          run.production.results[3].arrivals);
}

} // namespace greengagedrum::delivery
