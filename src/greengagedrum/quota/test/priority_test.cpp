// Which requests of a workspace beyond its limit are admitted.
#include <greengagedrum/placement/seconds.hpp>
#include <greengagedrum/quota/test/limiter_fixture.hpp>

#include <doctest/doctest.h>

namespace greengagedrum::quota
{

namespace
{

using namespace std::chrono_literals;

constexpr double per_second = 1000; // tokens
constexpr double burst_size = 1000;
constexpr std::uint32_t dossier = 0;
constexpr std::uint32_t note = 2;

// Requests of one priority at an even rate.
struct series {
    std::uint32_t priority = 0;
    double cost = 0;
    double demand = 0; // as a factor of the limit's rate
    double due_cost = 0;
    double requested = 0;
    double admitted = 0; // of `requested`, both as cost

    double served() const { return this->admitted / this->requested; }
};

struct priority_fixture : limiter_fixture {
    priority_fixture()
    {
        this->limit_to(per_second, burst_size);
        this->now += 1min; // the bucket is full
    }

    // Runs both series for `time`, in steps of ten milliseconds.
    void run(series& first, series& second, base::duration time)
    {
        constexpr base::duration step = std::chrono::milliseconds(10);
        for (base::duration passed{0}; passed < time; passed += step) {
            this->submit_requests(first, step);
            this->submit_requests(second, step);
            this->now += step;
        }
    }

    void submit_requests(series& requests, base::duration step)
    {
        requests.due_cost +=
            requests.demand * per_second * placement::seconds_of(step);
        for (; requests.due_cost >= requests.cost;
             requests.due_cost -= requests.cost) {
            requests.requested += requests.cost;
            if (this->own.try_acquire(
                    planning, requests.cost, requests.priority, this->now))
                continue;
            this->own.on_sent(planning, requests.cost, this->now);
            requests.admitted += requests.cost;
        }
    }
};

} // namespace

// Guards against notes using up the limit, so that dossiers are refused.
TEST_CASE_FIXTURE(priority_fixture, "dossiers_beyond_limit_precede_notes")
{
    series dossiers{dossier, 40, 0.8};
    series notes{note, 10, 2.5};
    this->run(dossiers, notes, 5s);
    dossiers.requested = 0;
    dossiers.admitted = 0;
    notes.admitted = 0;
    this->run(dossiers, notes, 20s);
    CHECK(dossiers.served() >= 0.95);
    const double all = dossiers.admitted + notes.admitted;
    CHECK(all <= 1.125 * 20 * per_second + burst_size);
    CHECK(all >= 20 * per_second);
}

// The same with more dossiers than the limit allows: notes are not starved.
TEST_CASE_FIXTURE(priority_fixture, "notes_below_excess_dossiers_not_starved")
{
    series dossiers{dossier, 40, 2};
    series notes{note, 10, 1};
    this->run(dossiers, notes, 20s);
    CHECK(dossiers.served() > notes.served());
    const double served_of_all = (dossiers.admitted + notes.admitted) /
                                 (dossiers.requested + notes.requested);
    CHECK(notes.served() >= 0.25 * served_of_all);
}

// Guards against refusing requests of negligible cost in favour of dossiers.
TEST_CASE_FIXTURE(priority_fixture, "pings_beside_dossiers_admitted")
{
    series dossiers{dossier, 40, 1.6};
    series pings{note, 0.6, 0.05};
    this->run(dossiers, pings, 20s);
    CHECK(pings.served() >= 0.8);
}

// Guards against refusing notes of a workspace that is within its limit.
TEST_CASE_FIXTURE(priority_fixture, "notes_within_limit_admitted")
{
    series dossiers{dossier, 40, 0.5};
    series notes{note, 10, 0.4};
    this->run(dossiers, notes, 20s);
    CHECK(dossiers.served() == 1);
    CHECK(notes.served() == 1);
    // A short burst of notes, within the published burst.
    series more_notes{note, 10, 8};
    this->run(dossiers, more_notes, 100ms);
    CHECK(more_notes.served() == 1);
}

// A process that has just started to count hears the usage of busy peers. It
// must not conclude that the limit is exceeded.
TEST_CASE_FIXTURE(priority_fixture,
                  "notes_within_limit_admitted_by_new_process")
{
    series elsewhere{dossier, 40, 0.6};
    const auto peer_continues = [&] {
        elsewhere.due_cost += elsewhere.demand * per_second * 0.01;
        for (; elsewhere.due_cost >= elsewhere.cost;
             elsewhere.due_cost -= elsewhere.cost)
            CHECK(this->try_send(this->peer, elsewhere.cost));
    };
    for (int step = 0; step < 800; ++step) {
        peer_continues();
        this->now += 10ms;
    }
    this->own = this->fresh_limiter({8s, 0.25, 0}, per_second, burst_size);
    series dossiers{dossier, 40, 0.12};
    series notes{note, 10, 0.2};
    for (int step = 0; step < 200; ++step) {
        peer_continues();
        this->exchange_reports();
        this->run(dossiers, notes, 10ms);
    }
    CHECK(dossiers.served() == 1);
    CHECK(notes.served() == 1);
}

} // namespace greengagedrum::quota
