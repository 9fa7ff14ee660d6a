// What an entry that doesn't know the suspects asks its peers, and until when.
#include <greengagedrum/quarantine/suspect_inquiry.hpp>
#include <greengagedrum/quarantine/suspect_table.hpp>

#include <doctest/doctest.h>

#include <string>

namespace greengagedrum::quarantine
{

namespace
{

using namespace std::chrono_literals;

constexpr peer_address first = 1;
constexpr peer_address second = 2;

suspect_page uninformed_page()
{
    suspect_page out;
    out.uninformed = true;
    return out;
}

suspect_page complete_page()
{
    suspect_page out;
    out.complete = true;
    return out;
}

struct inquiry_fixture {
    base::instant now{1h};
    suspect_inquiry inquiry;
    suspect_inquiry::peers peers;

    inquiry_fixture() { this->inquiry.begin(this->now); }

    // The result after at most that time, with a tick each 10 ms.
    std::optional<inquiry_result> advance(base::duration time)
    {
        for (const base::instant end = this->now + time; this->now < end;) {
            if (const auto out =
                    this->inquiry.take_result(this->peers, this->now))
                return out;
            this->inquiry.take_due(this->peers, this->now);
            this->now += 10ms;
        }
        return std::nullopt;
    }
};

} // namespace

// An entry without others would start later for nothing.
TEST_CASE_FIXTURE(inquiry_fixture, "inquiry_without_peers_ends_at_once")
{
    CHECK(this->inquiry.take_result(this->peers, this->now) ==
          inquiry_result::no_source);
    CHECK_FALSE(this->inquiry.pending());
}

TEST_CASE_FIXTURE(inquiry_fixture, "inquiry_answered_whole_by_one_peer_ends")
{
    this->peers.silent = {first, second};
    CHECK(this->inquiry.take_due(this->peers, this->now).size() == 2);
    CHECK_FALSE(this->inquiry.on_page(second, complete_page(), this->now));
    CHECK(this->inquiry.take_result(this->peers, this->now) ==
          inquiry_result::answered);
}

// All entries start at once: each would wait for all others.
TEST_CASE_FIXTURE(inquiry_fixture, "inquiry_where_all_have_started_ends_early")
{
    this->peers.live = {first, second};
    this->inquiry.take_due(this->peers, this->now);
    this->inquiry.on_page(first, uninformed_page(), this->now);
    this->inquiry.on_page(second, uninformed_page(), this->now);
    CHECK_FALSE(this->advance(100ms));
    CHECK(this->advance(100ms) == inquiry_result::no_source);
}

// One peer that has just started as well would end the inquiry although
// another one knows.
TEST_CASE_FIXTURE(inquiry_fixture, "inquiry_waits_for_peers_that_have_not_told")
{
    this->peers.live = {first, second};
    this->inquiry.take_due(this->peers, this->now);
    this->inquiry.on_page(first, uninformed_page(), this->now);
    CHECK_FALSE(this->advance(300ms));
    this->inquiry.on_page(second, complete_page(), this->now);
    CHECK(this->advance(10ms) == inquiry_result::answered);
}

// Entries of an earlier build never answer.
TEST_CASE_FIXTURE(inquiry_fixture, "inquiry_without_answers_times_out")
{
    this->peers.live = {first};
    CHECK_FALSE(this->advance(500ms));
    CHECK(this->advance(10ms) == inquiry_result::timed_out);
}

// The seeds of an entry alone are down.
TEST_CASE_FIXTURE(inquiry_fixture, "inquiry_of_silent_seeds_only_ends_early")
{
    this->peers.silent = {first, second};
    CHECK_FALSE(this->advance(150ms));
    CHECK(this->advance(10ms) == inquiry_result::no_source);
}

TEST_CASE_FIXTURE(inquiry_fixture, "inquiry_asks_again_after_a_lost_page")
{
    this->peers.live = {first};
    this->inquiry.take_due(this->peers, this->now);
    suspect_page page;
    page.last = {1, 1};
    page.pages_to_come = 2;
    CHECK_FALSE(this->inquiry.on_page(first, page, this->now));
    page.after = {2, 2}; // the page between is lost
    page.last = {3, 3};
    page.pages_to_come = 0;
    CHECK_FALSE(this->inquiry.on_page(first, page, this->now));
    CHECK(this->inquiry.take_due(this->peers, this->now + 20ms).empty());
    const auto repeated = this->inquiry.take_due(this->peers, this->now + 40ms);
    REQUIRE(repeated.size() == 1);
    CHECK(repeated.front().query.after == base::request_digest{1, 1});
}

// A table that fits no message is told in several, each of a bounded size.
TEST_CASE_FIXTURE(inquiry_fixture, "pages_of_a_large_table_hold_all_records")
{
    constexpr std::size_t records = 500;
    constexpr std::size_t page_records = 30;
    suspect_table table(1);
    suspect_table asking(2);
    for (std::size_t number = 0; number < records; ++number) {
        const base::upstream_id upstream("i-" + std::to_string(number));
        table.on_crash(base::request_digest{number + 1, 1},
                       base::workspace_id("shop"),
                       upstream,
                       this->now);
    }
    table.on_crash(base::request_digest{1, 1},
                   base::workspace_id("shop"),
                   base::upstream_id("other"),
                   this->now);
    for (std::size_t number = 0; number < records; ++number)
        table.on_upstream_gone(base::upstream_id("i-" + std::to_string(number)),
                               this->now);
    table.on_upstream_gone(base::upstream_id("other"), this->now);
    suspect_page page;
    std::size_t pages = 0;
    for (; !page.complete && pages < records; ++pages) {
        const auto reports = table.collect_page(page.last, this->now, page);
        CHECK(reports.size() <= page_records);
        asking.merge(reports, this->now);
    }
    CHECK(page.complete);
    CHECK(asking.size() == records);
    CHECK(asking.state_of(base::request_digest{1, 1}, this->now) ==
          quarantine_state::quarantined);
}

} // namespace greengagedrum::quarantine
