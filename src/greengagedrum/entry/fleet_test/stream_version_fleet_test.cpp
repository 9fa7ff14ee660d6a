// Streams that callers take up while entries fail.
#include <greengagedrum/entry/fleet_test/stream_version_fleet.hpp>

#include <doctest/doctest.h>

#include <algorithm>

namespace greengagedrum::entry::fleet_test
{

namespace
{

using namespace std::chrono_literals;
using versions::finding;
using versions::known_version;
using versions::single_version;
using versions::unknown_version;

struct stream_version_fixture {
    stream_version_fleet fleet{{}};
    base::version_id first = routing::service_version_id("models", "1.0");
    base::version_id second = routing::service_version_id("models", "1.1");

    // Both versions serve, and all entries have known them for long.
    void run_two_versions()
    {
        this->fleet.publish("i-1", "1.0");
        this->fleet.publish("i-2", "1.1");
        this->fleet.run_for(40s);
    }

    void run_one_version()
    {
        this->fleet.publish("i-1", "1.0");
        this->fleet.run_for(40s);
    }

    std::size_t find_up(std::size_t from) const
    {
        while (!this->fleet.is_up(from))
            from = (from + 1) % this->fleet.size();
        return from;
    }

    std::size_t find_up_without_record(const std::string& attempt,
                                       std::size_t writer) const
    {
        const auto holders = this->fleet.holders_of(writer, attempt);
        for (std::size_t one = 0; one < this->fleet.size(); ++one) {
            const bool holds =
                std::find(holders.begin(), holders.end(), one) != holders.end();
            if (one != writer && !holds && this->fleet.is_up(one))
                return one;
        }
        return writer;
    }
};

} // namespace

TEST_CASE_FIXTURE(stream_version_fixture,
                  "writer_killed_version_found_at_every_other_entry")
{
    this->run_two_versions();
    this->fleet.begin_stream(0, "a-1", this->second);
    this->fleet.run_for(20ms);
    this->fleet.kill(0);
    for (std::size_t one = 1; one < this->fleet.size(); ++one)
        CHECK(this->fleet.resume(one, "a-1") ==
              finding(known_version{this->second}));
}

TEST_CASE_FIXTURE(stream_version_fixture,
                  "writer_and_two_entries_killed_version_found")
{
    this->run_two_versions();
    this->fleet.begin_stream(0, "a-1", this->second);
    this->fleet.run_for(20ms);
    const auto holders = this->fleet.holders_of(0, "a-1");
    REQUIRE(holders.size() == 3);
    this->fleet.kill(0);
    this->fleet.kill(holders[0]);
    this->fleet.kill(holders[2]);
    const std::size_t at = this->find_up_without_record("a-1", 0);
    CHECK(this->fleet.resume(at, "a-1") ==
          finding(known_version{this->second}));
}

// A cut-off entry sees one version where there are two.
TEST_CASE_FIXTURE(stream_version_fixture, "cut_off_entry_version_unknown")
{
    this->run_one_version();
    const std::size_t at = this->find_up_without_record("a-1", 0);
    this->fleet.cut_off(at);
    this->fleet.publish("i-2", "1.1");
    this->fleet.run_for(1s);
    this->fleet.begin_stream(0, "a-1", this->second);
    this->fleet.run_for(20ms);
    CHECK(this->fleet.resume(at, "a-1") == finding(unknown_version{}));
}

// Entries that have just started don't know which versions have left.
TEST_CASE_FIXTURE(stream_version_fixture,
                  "all_entries_started_anew_single_listed_version_unknown")
{
    this->run_two_versions();
    this->fleet.begin_stream(0, "a-1", this->first);
    this->fleet.run_for(20ms);
    for (std::size_t one = 0; one < this->fleet.size(); ++one)
        this->fleet.kill(one);
    this->fleet.withdraw("i-1");
    for (std::size_t one = 0; one < this->fleet.size(); ++one)
        this->fleet.restart(one);
    this->fleet.run_for(10s);
    CHECK(this->fleet.versions_at(5).size() == 1);
    CHECK(this->fleet.resume(5, "a-1") == finding(unknown_version{}));
}

TEST_CASE_FIXTURE(stream_version_fixture,
                  "unknown_stream_single_version_for_long_goes_on")
{
    this->run_one_version();
    CHECK(this->fleet.resume(5, "a-1") == finding(single_version{this->first}));
}

// A restarted entry goes by those that have run for long.
TEST_CASE_FIXTURE(stream_version_fixture,
                  "unknown_stream_at_restarted_entry_goes_on")
{
    this->run_one_version();
    this->fleet.restart(5);
    this->fleet.run_for(500ms);
    CHECK(this->fleet.resume(5, "a-1") == finding(single_version{this->first}));
}

TEST_CASE_FIXTURE(stream_version_fixture,
                  "unknown_stream_version_left_lately_unknown")
{
    this->run_two_versions();
    this->fleet.withdraw("i-1");
    this->fleet.run_for(20s);
    CHECK(this->fleet.resume(5, "a-1") == finding(unknown_version{}));
    this->fleet.run_for(12s);
    CHECK(this->fleet.resume(5, "a-1") ==
          finding(single_version{this->second}));
}

TEST_CASE_FIXTURE(stream_version_fixture,
                  "holders_restarted_writer_or_other_holder_knows")
{
    this->run_two_versions();
    this->fleet.begin_stream(0, "a-1", this->second);
    this->fleet.run_for(20ms);
    const auto holders = this->fleet.holders_of(0, "a-1");
    this->fleet.restart(holders[0]);
    this->fleet.restart(holders[1]);
    this->fleet.run_for(500ms);
    const std::size_t at = this->find_up_without_record("a-1", 0);
    CHECK(this->fleet.resume(at, "a-1") ==
          finding(known_version{this->second}));
}

TEST_CASE_FIXTURE(stream_version_fixture,
                  "all_holders_and_writer_restarted_version_unknown")
{
    this->run_two_versions();
    this->fleet.begin_stream(0, "a-1", this->second);
    this->fleet.run_for(20ms);
    for (const std::size_t one : this->fleet.holders_of(0, "a-1"))
        this->fleet.restart(one);
    const std::size_t at = this->find_up_without_record("a-1", 0);
    this->fleet.restart(0);
    this->fleet.run_for(500ms);
    CHECK(this->fleet.resume(at, "a-1") == finding(unknown_version{}));
}

// The record would expire while the stream goes on over several tries.
TEST_CASE_FIXTURE(stream_version_fixture, "third_try_names_first_version_found")
{
    this->run_two_versions();
    this->fleet.begin_stream(0, "a-1", this->second);
    this->fleet.run_for(25s);
    this->fleet.kill(0);
    CHECK(this->fleet.resume(4, "a-1") == finding(known_version{this->second}));
    this->fleet.run_for(25s);
    this->fleet.kill(4);
    CHECK(this->fleet.resume(8, "a-1") == finding(known_version{this->second}));
}

namespace
{

// One random schedule of starts, kills, changes of versions and streams.
class random_schedule
{
public:
    explicit random_schedule(std::uint64_t seed)
        : random_engine(seed),
          fleet({this->draw(8, 24),
                 this->draw(1, 4),
                 static_cast<double>(this->draw(0, 5)) / 100,
                 seed})
    {
    }

    struct totals {
        std::size_t known = 0;
        std::size_t unknown = 0;
        std::size_t wrong = 0;
        std::size_t single = 0;
    };

    void run(std::size_t max_others_killed, totals& out)
    {
        this->fleet.publish("i-1", "1.0");
        this->fleet.run_for(std::chrono::seconds(this->draw(0, 1) * 35 + 1));
        for (std::size_t stream = 0; stream < 3; ++stream) {
            this->change_versions();
            this->run_stream(
                "a-" + std::to_string(stream), max_others_killed, out);
        }
    }

    static void
    count(const finding& found, base::version_id begun_by, totals& out)
    {
        const base::version_id version = versions::version_of(found);
        if (version.empty())
            out.unknown += 1;
        else if (version != begun_by)
            out.wrong += 1;
        else
            out.known += 1;
        if (std::holds_alternative<single_version>(found))
            out.single += 1;
    }

private:
    std::size_t draw(std::size_t from, std::size_t to)
    {
        return std::uniform_int_distribution<std::size_t>(from, to)(
            this->random_engine);
    }

    void change_versions()
    {
        const std::string upstream = "i-" + std::to_string(this->draw(1, 3));
        const std::size_t change = this->draw(0, 3);
        if (change == 0 && upstream != "i-1")
            this->fleet.withdraw(upstream);
        else if (change != 1)
            this->fleet.publish(upstream,
                                "1." + std::to_string(this->draw(0, 2)));
        this->fleet.run_for(std::chrono::milliseconds(this->draw(0, 3000)));
    }

    std::size_t draw_up()
    {
        std::size_t one = 0;
        do
            one = this->draw(0, this->fleet.size() - 1);
        while (!this->fleet.is_up(one));
        return one;
    }

    void run_stream(const std::string& attempt,
                    std::size_t max_others_killed,
                    totals& out)
    {
        const std::size_t writer = this->draw_up();
        const auto known = this->fleet.versions_at(writer);
        if (known.empty())
            return;
        const base::version_id version = known[this->draw(0, known.size() - 1)];
        this->fleet.begin_stream(writer, attempt, version);
        this->fleet.run_for(std::chrono::milliseconds(this->draw(5, 2000)));
        std::vector<std::size_t> killed{writer};
        for (std::size_t count = this->draw(0, max_others_killed); count > 0;
             --count)
            killed.push_back(this->draw_up());
        for (const std::size_t one : killed)
            this->fleet.kill(one);
        this->fleet.run_for(std::chrono::milliseconds(this->draw(1, 1000)));
        for (std::size_t tries = 0; tries < 2; ++tries) {
            const auto found = this->fleet.resume(this->draw_up(), attempt);
            this->count(found.value_or(unknown_version{}), version, out);
        }
        for (const std::size_t one : killed)
            this->fleet.restart(one);
    }

    std::mt19937_64 random_engine;
    stream_version_fleet fleet;
};

random_schedule::totals run_schedules(std::size_t max_others_killed)
{
    constexpr std::uint64_t schedules = 2000;
    random_schedule::totals out;
    for (std::uint64_t seed = 1; seed <= schedules; ++seed) {
        const std::size_t wrong_before = out.wrong;
        random_schedule(seed).run(max_others_killed, out);
        CAPTURE(seed);
        CHECK(out.wrong == wrong_before);
    }
    MESSAGE("known ",
            out.known,
            ", of these by history ",
            out.single,
            ", unknown ",
            out.unknown,
            ", wrong ",
            out.wrong);
    return out;
}

} // namespace

namespace
{

// All entries are killed around the end of a version, and possibly once more in
// the first second after their start. `wrong`: streams joined from two
// versions.
random_schedule::totals run_kills_of_all(std::uint64_t seed)
{
    std::mt19937_64 random_engine(seed);
    const auto draw = [&random_engine](int from, int to) {
        return std::chrono::milliseconds(
            std::uniform_int_distribution(from, to)(random_engine));
    };
    const base::version_id first = routing::service_version_id("models", "1.0");
    stream_version_fleet fleet({9, 3, 0.01, seed});
    const auto restart_all = [&fleet] {
        for (std::size_t one = 0; one < fleet.size(); ++one)
            fleet.restart(one);
    };
    fleet.publish("i-1", "1.0");
    fleet.run_for(draw(1'000, 40'000));
    fleet.begin_stream(0, "a-1", first);
    fleet.run_for(draw(0, 50));
    fleet.publish("i-2", "1.1");
    fleet.run_for(draw(0, 1'000));
    if (draw(0, 1).count() == 0) {
        fleet.withdraw("i-1");
        restart_all();
    } else {
        restart_all();
        fleet.run_for(draw(0, 200));
        fleet.withdraw("i-1");
    }
    if (draw(0, 1).count() == 0) {
        fleet.run_for(draw(0, 1'000));
        restart_all();
    }
    random_schedule::totals out;
    for (int tries = 0; tries < 10; ++tries) {
        fleet.run_for(draw(0, 1'000));
        const std::size_t at = static_cast<std::size_t>(draw(0, 8).count());
        for (const std::string begun_by : {"a-1", "unnamed"})
            random_schedule::count(
                fleet.resume(at, begun_by).value_or(unknown_version{}),
                first,
                out);
    }
    return out;
}

} // namespace

// Failure guarded against: the entries that come back see one version and go on
// at it, though the stream began at the one that has left.
TEST_CASE("all_entries_killed_around_the_end_of_a_version_never_wrong")
{
    constexpr std::uint64_t seeds = 300;
    std::size_t unknown = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        CAPTURE(seed);
        const auto totals = run_kills_of_all(seed);
        CHECK(totals.wrong == 0);
        unknown += totals.unknown;
    }
    MESSAGE("unknown ", unknown);
    CHECK(unknown > 0);
}

TEST_CASE("random_schedules_two_others_killed_versions_known_and_right")
{
    const auto totals = run_schedules(2);
    CHECK(totals.known > 9 * totals.unknown);
}

TEST_CASE("random_schedules_many_killed_versions_never_wrong")
{
    const auto totals = run_schedules(5);
    CHECK(totals.known > 0);
}

} // namespace greengagedrum::entry::fleet_test
