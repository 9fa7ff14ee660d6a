// Reports of several incarnations of one upstream, among them odd ones of other
// programs.
#include <greengagedrum/routing/upstream_directory.hpp>

#include <doctest/doctest.h>

namespace greengagedrum::routing
{

namespace
{

constexpr std::uint64_t far_ahead = 4'102'444'800'000;

published_upstream incarnation_at(std::uint64_t started_unix_ms,
                                  std::uint64_t revision)
{
    published_upstream out;
    out.name = "i-1";
    out.started_unix_ms = started_unix_ms;
    out.id = incarnation_id(out.name, started_unix_ms);
    out.service = base::upstream_class_id("models");
    out.revision = revision;
    return out;
}

} // namespace

// Guards against an item of another program whose start lies far ahead: the
// upstream's own reports would be ignored for good.
TEST_CASE("item_with_start_far_ahead_ends_with_upstreams_own_reports")
{
    upstream_directory directory;
    CHECK(directory.update(incarnation_at(1'000, 5)) ==
          upstream_change::joined);
    CHECK(directory.update(incarnation_at(far_ahead, 6)) ==
          upstream_change::restarted);
    directory.update(incarnation_at(1'000, 7));
    directory.update(incarnation_at(1'000, 8));
    CHECK(directory.update(incarnation_at(1'000, 9)) ==
          upstream_change::restarted);
    CHECK(directory.find_usable(incarnation_at(1'000, 9).id) != nullptr);
    CHECK(directory.find_usable(incarnation_at(far_ahead, 6).id) == nullptr);
}

TEST_CASE("item_with_start_far_ahead_removed_later_start_joins")
{
    upstream_directory directory;
    directory.update(incarnation_at(1'000, 5));
    directory.update(incarnation_at(far_ahead, 6));
    directory.remove("i-1", 7, std::nullopt);
    for (std::uint64_t revision = 8; revision <= 10; ++revision)
        directory.update(incarnation_at(2'000, revision));
    CHECK(directory.find_usable(incarnation_at(2'000, 10).id) != nullptr);
    // The next start of the upstream counts at once.
    CHECK(directory.update(incarnation_at(3'000, 11)) ==
          upstream_change::restarted);
}

// An older incarnation's reports between those of the newer one are late.
TEST_CASE("late_reports_between_those_of_newer_incarnation_ignored")
{
    upstream_directory directory;
    directory.update(incarnation_at(2'000, 5));
    for (std::uint64_t revision = 6; revision <= 20; revision += 2) {
        CHECK(directory.update(incarnation_at(1'000, revision)) ==
              upstream_change::none);
        directory.update(incarnation_at(2'000, revision + 1));
    }
    CHECK(directory.find_usable(incarnation_at(2'000, 21).id) != nullptr);
}

} // namespace greengagedrum::routing
