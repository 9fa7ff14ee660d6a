#include <greengagedrum/quarantine/suspect_table.hpp>

#include <doctest/doctest.h>

#include <string>

namespace greengagedrum::quarantine
{

namespace
{

using namespace std::chrono_literals;

struct table_fixture {
    base::instant now{1h};
    suspect_table table{1};
    suspect_table peer{2};
    base::workspace_id shop{"shop"};
    base::request_digest request = digest_of(0);

    static base::request_digest digest_of(std::uint64_t number)
    {
        return base::digest_of_request(
            "shop", "POST", "/", std::to_string(number));
    }

    suspect_table::changes crash(const base::request_digest& request,
                                 int upstream)
    {
        auto out = this->table.on_crash(
            request, this->shop, this->upstream(upstream), this->now);
        this->table.on_upstream_gone(this->upstream(upstream), this->now);
        return out;
    }

    void crash_at_peer(int upstream)
    {
        this->peer.on_crash(
            this->request, this->shop, this->upstream(upstream), this->now);
        this->peer.on_upstream_gone(this->upstream(upstream), this->now);
    }

    static base::upstream_id upstream(int number)
    {
        return base::upstream_id("i-" + std::to_string(number));
    }

    quarantine_state current_state() const
    {
        return this->table.state_of(this->request, this->now);
    }

    void quarantine()
    {
        this->crash(this->request, 1);
        this->crash(this->request, 2);
        REQUIRE(this->current_state() == quarantine_state::quarantined);
    }

    void send_reports(suspect_table& from,
                      suspect_table& to,
                      bool include_unchanged = false)
    {
        to.merge(from.collect_reports(this->now, include_unchanged), this->now);
    }
};

} // namespace

TEST_CASE_FIXTURE(table_fixture, "request_one_crash_suspected_only")
{
    const auto change = this->crash(this->request, 1);
    REQUIRE(change.size() == 1);
    CHECK(change.front().state == quarantine_state::suspected);
    CHECK(this->current_state() == quarantine_state::suspected);
    CHECK(this->table.time_until_trial(this->request, this->now) == 0s);
}

TEST_CASE_FIXTURE(table_fixture, "request_crashes_two_upstreams_quarantined")
{
    this->crash(this->request, 1);
    const auto change = this->crash(this->request, 2);
    REQUIRE(change.size() == 1);
    CHECK(change.front().state == quarantine_state::quarantined);
    CHECK(change.front().crashes == 2);
    CHECK(this->table.time_until_trial(this->request, this->now) >= 60s);
    CHECK(this->table.list_quarantined(this->now).size() == 1);
}

// Two requests that were lost with one upstream report the same crash.
TEST_CASE_FIXTURE(table_fixture,
                  "request_lost_twice_on_one_incarnation_counted_once")
{
    this->crash(this->request, 1);
    CHECK(this->crash(this->request, 1).empty());
    CHECK(this->current_state() == quarantine_state::suspected);
}

TEST_CASE_FIXTURE(table_fixture, "request_answered_cleared")
{
    this->quarantine();
    const auto change = this->table.clear_suspicion(this->request, this->now);
    REQUIRE(change.size() == 1);
    CHECK(change.front().state == quarantine_state::clear);
    CHECK(this->current_state() == quarantine_state::clear);
}

// A request that many callers send is running on every upstream that ever
// crashes, whatever the cause.
TEST_CASE_FIXTURE(table_fixture, "request_answered_recently_not_suspected")
{
    this->table.clear_suspicion(this->request, this->now);
    this->now += 9s;
    CHECK(this->crash(this->request, 1).empty());
    CHECK(this->crash(this->request, 2).empty());
    CHECK(this->current_state() == quarantine_state::clear);
    this->now += 2s;
    CHECK(this->crash(this->request, 3).size() == 1);
}

// Reset connections look like a crash until the upstream answers.
TEST_CASE_FIXTURE(table_fixture, "upstream_answers_its_crash_retracted")
{
    this->quarantine();
    const std::vector<suspect_report> reports =
        this->table.collect_reports(this->now, false);
    this->table.on_upstream_answered(this->upstream(1), this->now + 50ms);
    // May be written before the crash.
    CHECK(this->current_state() == quarantine_state::quarantined);
    this->table.on_upstream_answered(this->upstream(1), this->now + 150ms);
    CHECK(this->current_state() == quarantine_state::suspected);
    this->now += 200ms;
    this->table.merge(reports, this->now);
    CHECK(this->current_state() == quarantine_state::suspected);
}

// A new connection shows at once that the upstream did not crash.
TEST_CASE_FIXTURE(table_fixture, "upstream_accepts_connection_crash_retracted")
{
    for (const int number : {1, 2})
        this->table.on_crash(
            this->request, this->shop, upstream(number), this->now);
    REQUIRE(this->current_state() == quarantine_state::quarantined);
    const auto change =
        this->table.on_upstream_reachable(upstream(1), this->now + 20ms);
    REQUIRE(change.size() == 1);
    CHECK(change.front().state == quarantine_state::suspected);
}

TEST_CASE_FIXTURE(table_fixture, "crash_not_confirmed_not_reported_to_peers")
{
    this->table.on_crash(this->request, this->shop, upstream(1), this->now);
    this->send_reports(this->table, this->peer);
    CHECK(this->peer.state_of(this->request, this->now) ==
          quarantine_state::clear);
    this->now += 300ms;
    this->table.on_upstream_gone(upstream(1), this->now);
    this->send_reports(this->table, this->peer);
    CHECK(this->peer.state_of(this->request, this->now) ==
          quarantine_state::suspected);
}

TEST_CASE_FIXTURE(table_fixture, "trial_due_after_pause_one_copy_sent")
{
    this->quarantine();
    this->now += 59s;
    CHECK(this->current_state() == quarantine_state::quarantined);
    this->now += 62s;
    CHECK(this->current_state() == quarantine_state::trial_due);
    this->table.on_sent({this->request, {}}, this->now);
    CHECK(this->current_state() == quarantine_state::quarantined);
    CHECK(this->table.time_until_trial(this->request, this->now) > 0s);
}

TEST_CASE_FIXTURE(table_fixture, "trial_crashes_next_delay_ten_times_as_long")
{
    this->quarantine();
    this->now += 121s;
    this->table.on_sent({this->request, {}}, this->now);
    this->now += 1s;
    this->crash(this->request, 3);
    this->now += 590s;
    CHECK(this->current_state() == quarantine_state::quarantined);
    this->now += 620s;
    CHECK(this->current_state() == quarantine_state::trial_due);
}

TEST_CASE_FIXTURE(table_fixture, "trial_never_ends_another_allowed")
{
    this->quarantine();
    this->now += 121s;
    this->table.on_sent({this->request, {}}, this->now);
    this->now += 31s;
    CHECK(this->current_state() == quarantine_state::trial_due);
}

TEST_CASE_FIXTURE(table_fixture, "trial_reported_by_peer_none_here")
{
    this->quarantine();
    this->send_reports(this->table, this->peer);
    this->now += 125s;
    this->peer.on_sent({this->request, {}}, this->now);
    REQUIRE(this->current_state() == quarantine_state::trial_due);
    this->send_reports(this->peer, this->table);
    CHECK(this->current_state() == quarantine_state::quarantined);
}

TEST_CASE_FIXTURE(table_fixture,
                  "crashes_seen_by_two_entries_add_up_by_upstream")
{
    this->crash(this->request, 1);
    this->crash_at_peer(1);
    this->send_reports(this->peer, this->table);
    CHECK(this->current_state() == quarantine_state::suspected);
    this->crash_at_peer(2);
    this->send_reports(this->peer, this->table);
    CHECK(this->current_state() == quarantine_state::quarantined);
    this->send_reports(this->peer, this->table);
    CHECK(this->table.list_quarantined(this->now).front().crashes == 2);
}

// Two entries that repeat known crashes to each other must not take them for
// changes.
TEST_CASE_FIXTURE(table_fixture, "report_of_known_crashes_not_repeated")
{
    this->quarantine();
    this->send_reports(this->table, this->peer);
    CHECK(this->peer.collect_reports(this->now, false).size() == 1);
    this->now += 500ms;
    this->send_reports(this->table, this->peer, true);
    CHECK(this->peer.collect_reports(this->now, false).empty());
}

TEST_CASE_FIXTURE(table_fixture, "answer_reported_by_peer_clears_request")
{
    this->quarantine();
    this->send_reports(this->table, this->peer);
    this->now += 1s;
    this->peer.clear_suspicion(this->request, this->now);
    this->send_reports(this->peer, this->table);
    CHECK(this->current_state() == quarantine_state::clear);
}

// A peer that has answered the request is told that it is quarantined.
TEST_CASE_FIXTURE(table_fixture,
                  "suspicion_reported_to_peer_that_answered_cleared")
{
    this->peer.clear_suspicion(this->request, this->now);
    this->now += 1s;
    this->quarantine();
    this->send_reports(this->table, this->peer);
    this->send_reports(this->peer, this->table);
    CHECK(this->current_state() == quarantine_state::clear);
}

// A process that has just started is told of old records, which are no longer
// part of the recent changes.
TEST_CASE_FIXTURE(table_fixture,
                  "old_records_reported_round_robin_to_a_new_entry")
{
    this->quarantine();
    this->now += 30s;
    for (std::uint64_t number = 1; number <= 40; ++number)
        this->crash(digest_of(number), 9);
    this->now += 5s;
    CHECK(this->table.collect_reports(this->now, false).empty());
    this->send_reports(this->table, this->peer, true);
    CHECK(this->peer.state_of(this->request, this->now) ==
          quarantine_state::quarantined);
    for (int round = 0; round < 10; ++round)
        this->send_reports(this->table, this->peer, true);
    CHECK(this->peer.size() == 41);
}

// One workspace sends thousands of different requests that crash upstreams. Its
// records must not evict those of others.
TEST_CASE_FIXTURE(table_fixture, "records_of_one_workspace_do_not_evict_others")
{
    this->quarantine();
    const base::workspace_id hostile("hostile");
    for (std::uint64_t number = 1; number <= 5000; ++number) {
        this->now += 1ms;
        const int upstream = 10 + static_cast<int>(number);
        this->table.on_crash(
            digest_of(number), hostile, this->upstream(upstream), this->now);
        this->table.on_crash(
            digest_of(number), hostile, this->upstream(-upstream), this->now);
    }
    CHECK(this->table.size() <= 513);
    CHECK(this->current_state() == quarantine_state::quarantined);
    CHECK(this->table.state_of(digest_of(5000), this->now) ==
          quarantine_state::quarantined);
    CHECK(this->table.collect_reports(this->now, true).size() <= 28);
}

TEST_CASE_FIXTURE(table_fixture, "single_crash_expires_quarantine_stays")
{
    const base::request_digest other = digest_of(7);
    this->crash(other, 1);
    this->quarantine();
    this->now += 11min;
    this->table.remove_expired(this->now);
    CHECK(this->table.state_of(other, this->now) == quarantine_state::clear);
    CHECK(this->table.size() == 1);
    this->now += 49h;
    this->table.remove_expired(this->now);
    CHECK(this->table.empty());
}

} // namespace greengagedrum::quarantine
