// Which requests of a workspace beyond its limit are let through.
#include <greengagedrum/placement/seconds.hpp>
#include <greengagedrum/quota/test/limiter_fixture.hpp>

#include <doctest/doctest.h>

namespace greengagedrum::quota
{

namespace
{

using namespace std::chrono_literals;

constexpr double per_second = 1000; // tokens
constexpr double most_at_once = 1000;
constexpr std::uint32_t dossier = 0;
constexpr std::uint32_t note = 2;

// Requests of one priority that come evenly spread.
struct series {
    std::uint32_t priority = 0;
    double cost = 0;
    double demand = 0; // of the limit's rate
    double due = 0;
    double asked = 0;
    double let = 0; // of `asked`, both as cost

    double served() const { return this->let / this->asked; }
};

struct priority_fixture : limiter_fixture {
    priority_fixture()
    {
        this->limit_to(per_second, most_at_once);
        this->now += 1min; // the bucket is full
    }

    // Plays both for so long, a step every ten milliseconds.
    void play(series& first, series& second, base::duration time)
    {
        constexpr base::duration step = std::chrono::milliseconds(10);
        for (base::duration passed{0}; passed < time; passed += step) {
            this->ask(first, step);
            this->ask(second, step);
            this->now += step;
        }
    }

    void ask(series& of, base::duration step)
    {
        of.due += of.demand * per_second * placement::seconds_of(step);
        for (; of.due >= of.cost; of.due -= of.cost) {
            of.asked += of.cost;
            if (this->own.try_acquire(
                    planning, of.cost, of.priority, this->now))
                continue;
            this->own.on_sent(planning, of.cost, this->now);
            of.let += of.cost;
        }
    }
};

} // namespace

// A workspace's notes use the limit that its dossiers are refused for.
TEST_CASE_FIXTURE(priority_fixture, "dossiers_beyond_a_limit_go_before_notes")
{
    series dossiers{dossier, 40, 0.8};
    series notes{note, 10, 2.5};
    this->play(dossiers, notes, 5s);
    dossiers.asked = 0;
    dossiers.let = 0;
    notes.let = 0;
    this->play(dossiers, notes, 20s);
    CHECK(dossiers.served() >= 0.95);
    const double all = dossiers.let + notes.let;
    CHECK(all <= 1.125 * 20 * per_second + most_at_once);
    CHECK(all >= 20 * per_second);
}

// The same with more dossiers than the limit allows: notes are not starved.
TEST_CASE_FIXTURE(priority_fixture, "notes_behind_too_many_dossiers_get_a_part")
{
    series dossiers{dossier, 40, 2};
    series notes{note, 10, 1};
    this->play(dossiers, notes, 20s);
    CHECK(dossiers.served() > notes.served());
    const double of_all =
        (dossiers.let + notes.let) / (dossiers.asked + notes.asked);
    CHECK(notes.served() >= 0.25 * of_all);
}

// Pings that cost next to nothing are refused for the sake of dossiers.
TEST_CASE_FIXTURE(priority_fixture, "pings_beside_dossiers_are_let_through")
{
    series dossiers{dossier, 40, 1.6};
    series pings{note, 0.6, 0.05};
    this->play(dossiers, pings, 20s);
    CHECK(pings.served() >= 0.8);
}

// A workspace within its limit has notes refused.
TEST_CASE_FIXTURE(priority_fixture, "notes_within_a_limit_are_let_through")
{
    series dossiers{dossier, 40, 0.5};
    series notes{note, 10, 0.4};
    this->play(dossiers, notes, 20s);
    CHECK(dossiers.served() == 1);
    CHECK(notes.served() == 1);
    // A moment's burst of notes, no more than what is published.
    series more_notes{note, 10, 8};
    this->play(dossiers, more_notes, 100ms);
    CHECK(more_notes.served() == 1);
}

// A process that has just begun to count hears what busy peers let through, and
// takes the limit for exceeded.
TEST_CASE_FIXTURE(priority_fixture, "notes_within_a_limit_pass_a_fresh_process")
{
    series elsewhere{dossier, 40, 0.6};
    const auto peer_goes_on = [&] {
        elsewhere.due += elsewhere.demand * per_second * 0.01;
        for (; elsewhere.due >= elsewhere.cost; elsewhere.due -= elsewhere.cost)
            CHECK(this->take(this->peer, elsewhere.cost));
    };
    for (int step = 0; step < 800; ++step) {
        peer_goes_on();
        this->now += 10ms;
    }
    this->own = this->fresh_limiter({8s, 0.25, 0}, per_second, most_at_once);
    series dossiers{dossier, 40, 0.12};
    series notes{note, 10, 0.2};
    for (int step = 0; step < 200; ++step) {
        peer_goes_on();
        this->talk();
        this->play(dossiers, notes, 10ms);
    }
    CHECK(dossiers.served() == 1);
    CHECK(notes.served() == 1);
}

} // namespace greengagedrum::quota
