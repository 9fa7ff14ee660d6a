// Streams that callers take up at entries that are out of step with the store
// or with the others while upstreams of a new version join.
#include <greengagedrum/entry/fleet_test/stream_version_fleet.hpp>

#include <doctest/doctest.h>

namespace greengagedrum::entry::fleet_test
{

namespace
{

using namespace std::chrono_literals;
using versions::finding;
using versions::known_version;
using versions::single_version;
using versions::unknown_version;

constexpr std::size_t writer = 0;
constexpr std::size_t out_of_step = 5;

// All entries have long known a single version.
struct out_of_step_fixture {
    out_of_step_fixture()
    {
        this->fleet.publish("i-1", "1.0");
        this->fleet.run_for(40s);
    }

    // A stream begins at an upstream of the new version, and all records of it
    // are lost.
    void begin_unrecorded_stream()
    {
        this->fleet.publish("i-2", "1.1");
        this->fleet.begin_stream(writer, "a-1", this->second);
        for (const std::size_t one : this->fleet.holders_of(writer, "a-1")) {
            if (one != out_of_step)
                this->fleet.kill(one);
        }
        this->fleet.kill(writer);
    }

    stream_version_fleet fleet{{}};
    base::version_id first = routing::service_version_id("models", "1.0");
    base::version_id second = routing::service_version_id("models", "1.1");
};

} // namespace

// Guards against an entry that knows no other one and continues a stream by its
// own outdated view.
TEST_CASE_FIXTURE(out_of_step_fixture,
                  "entry_cut_off_and_alone_version_unknown")
{
    this->fleet.cut_off(out_of_step);
    this->fleet.run_for(1s);
    this->begin_unrecorded_stream();
    this->fleet.run_for(100ms);
    CHECK(this->fleet.resume(out_of_step, "a-1") == finding(unknown_version{}));
}

TEST_CASE_FIXTURE(out_of_step_fixture,
                  "entry_cut_off_from_others_version_unknown")
{
    this->fleet.cut_off_from_entries(out_of_step);
    this->fleet.run_for(1s);
    this->begin_unrecorded_stream();
    CHECK(this->fleet.resume(out_of_step, "a-1") == finding(unknown_version{}));
}

TEST_CASE_FIXTURE(out_of_step_fixture,
                  "entry_cut_off_from_store_version_unknown")
{
    this->fleet.cut_off_from_store(out_of_step);
    this->begin_unrecorded_stream();
    CHECK(this->fleet.resume(out_of_step, "a-1") == finding(unknown_version{}));
}

// Guards against views that are all a moment old, with nothing cut.
TEST_CASE_FIXTURE(out_of_step_fixture,
                  "version_published_a_moment_ago_version_unknown")
{
    this->begin_unrecorded_stream();
    CHECK(this->fleet.resume(out_of_step, "a-1") == finding(unknown_version{}));
}

TEST_CASE_FIXTURE(out_of_step_fixture,
                  "record_elsewhere_version_found_while_store_is_silent")
{
    this->fleet.publish("i-2", "1.1");
    this->fleet.begin_stream(writer, "a-1", this->second);
    this->fleet.run_for(20ms);
    for (std::size_t one = 0; one < this->fleet.size(); ++one)
        this->fleet.cut_off_from_store(one);
    CHECK(this->fleet.resume(out_of_step, "a-1") ==
          finding(known_version{this->second}));
}

TEST_CASE_FIXTURE(out_of_step_fixture,
                  "entry_back_in_step_single_version_found")
{
    this->fleet.cut_off(out_of_step);
    this->fleet.run_for(3s);
    this->fleet.reconnect(out_of_step);
    this->fleet.run_for(1s);
    CHECK(this->fleet.resume(out_of_step, "a-1") ==
          finding(single_version{this->first}));
}

// One entry is out of step for 0.1 to 6 s during a release, and streams of the
// new version are taken up there, most of them without a record.
TEST_CASE("releases_beside_entries_out_of_step_never_another_version")
{
    std::size_t continued = 0;
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        CAPTURE(seed);
        std::mt19937_64 random(seed);
        const auto draw = [&random](int from, int to) {
            return std::uniform_int_distribution<int>(from, to)(random);
        };
        const auto wait = [&](int from, int to) {
            return std::chrono::milliseconds(draw(from, to));
        };
        stream_version_fleet fleet({8, 2, 0.01 * draw(0, 2), seed});
        fleet.publish("i-1", "1.0");
        fleet.run_for(40s);
        const auto at = static_cast<std::size_t>(draw(1, 7));
        const int kind = draw(0, 3);
        if (kind == 0)
            fleet.cut_off(at);
        else if (kind == 1)
            fleet.cut_off_from_store(at);
        else if (kind == 2)
            fleet.cut_off_from_entries(at);
        fleet.run_for(wait(100, 3000));
        fleet.publish("i-2", "1.1");
        fleet.run_for(wait(0, 300));
        const base::version_id begun_by = routing::service_version_id(
            "models", draw(0, 3) == 0 ? "1.0" : "1.1");
        fleet.begin_stream(writer, "a-1", begun_by);
        if (draw(0, 1) == 0)
            fleet.run_for(wait(0, 20));
        for (const std::size_t one : fleet.holders_of(writer, "a-1")) {
            if (one != at && draw(0, 3) > 0)
                fleet.kill(one);
        }
        fleet.kill(writer);
        fleet.run_for(wait(0, 2000));
        if (draw(0, 1) == 0)
            fleet.reconnect(at);
        const auto found = fleet.resume(at, "a-1");
        REQUIRE(found.has_value());
        const base::version_id version = versions::version_of(*found);
        continued += version.empty() ? 0 : 1;
        CHECK((version.empty() || version == begun_by));
    }
    MESSAGE(continued, " of 300 streams continued");
    CHECK(continued > 0);
}

} // namespace greengagedrum::entry::fleet_test
