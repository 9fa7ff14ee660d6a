// The reports of suspects that two entries exchange.
#include <greengagedrum/quarantine/suspect_table.hpp>

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <string>
#include <vector>

namespace greengagedrum::quarantine
{

namespace
{

using namespace std::chrono_literals;

base::request_digest part(const std::string& id)
{
    return base::digest_of_prompt_part(base::upstream_class_id("engines"), id);
}

struct exchange_fixture {
    base::instant now{1h};
    suspect_table table{1};
    suspect_table peer{2};
    base::workspace_id shop{"shop"};
    base::request_digest shared = part("shared");

    static base::upstream_id upstream(int number)
    {
        return base::upstream_id("i-" + std::to_string(number));
    }

    void crash(suspect_table& at,
               const std::vector<base::request_digest>& parts,
               int number)
    {
        at.on_crash(parts, this->shop, upstream(number), this->now);
        at.on_upstream_gone(upstream(number), this->now);
    }

    void answer(suspect_table& at, const base::request_digest& digest)
    {
        at.on_answer_begun(std::array{digest}, this->now, this->now);
    }

    void blame_shared_part()
    {
        for (int number = 1; number <= 2; ++number) {
            this->crash(this->table, {this->shared}, number);
            this->crash(this->peer, {this->shared}, number);
            this->now += 1s;
        }
        REQUIRE(this->state(this->table) == quarantine_state::quarantined);
        REQUIRE(this->state(this->peer) == quarantine_state::quarantined);
    }

    quarantine_state state(const suspect_table& at) const
    {
        return at.state_of(this->shared, this->now);
    }

    void send_reports(suspect_table& from, suspect_table& to, bool all)
    {
        to.merge(from.collect_reports(this->now, all), this->now);
    }

    // Both send at the same time, and receive 20 ms later.
    void exchange_reports()
    {
        const auto sent = this->table.collect_reports(this->now, true);
        const auto received = this->peer.collect_reports(this->now, true);
        this->now += 20ms;
        this->peer.merge(sent, this->now);
        this->table.merge(received, this->now);
    }
};

} // namespace

// An answer that was reported while the peer was cut off would never reach it,
// and the peer would go on to refuse the part.
TEST_CASE_FIXTURE(exchange_fixture,
                  "acquittal_missed_by_a_peer_is_reported_again")
{
    this->blame_shared_part();
    this->answer(this->table, this->shared);
    this->now += 1s;
    this->send_reports(this->peer, this->table, true);
    this->send_reports(this->table, this->peer, false);
    CHECK(this->state(this->peer) == quarantine_state::clear);
}

// Peers that know of the answer and report other crashes would have it reported
// with each of their messages.
TEST_CASE_FIXTURE(exchange_fixture,
                  "acquittal_known_to_the_peer_is_not_reported_again")
{
    this->blame_shared_part();
    this->answer(this->table, this->shared);
    this->now += 1s;
    this->crash(this->table, {this->shared}, 3);
    for (int round = 0; round < 4; ++round) {
        this->exchange_reports();
        this->now += 500ms;
    }
    this->exchange_reports();
    CHECK(this->table.collect_reports(this->now, false).empty());
    CHECK(this->peer.collect_reports(this->now, false).empty());
}

// An answer that is hardly later than the known one would be taken for the
// same, and its sender would report it again and again.
TEST_CASE_FIXTURE(exchange_fixture,
                  "answer_slightly_later_that_rules_out_a_crash_is_taken_over")
{
    const auto request = base::digest_of_request("shop", "POST", "/", "body");
    this->peer.on_crash(request, this->shop, upstream(1), this->now);
    this->now += 1s;
    this->peer.clear_suspicion(request, this->now);
    this->now += 200ms;
    this->table.clear_suspicion(request, this->now);
    this->now += 9900ms;
    this->peer.on_crash(request, this->shop, upstream(2), this->now);
    this->peer.on_upstream_gone(upstream(2), this->now);
    REQUIRE(this->peer.state_of(request, this->now) ==
            quarantine_state::suspected);
    this->send_reports(this->peer, this->table, false);
    this->send_reports(this->table, this->peer, false);
    CHECK(this->peer.state_of(request, this->now) == quarantine_state::clear);
}

// One crash with many parts on the upstream would crowd out all acquittals of
// the same moment.
TEST_CASE_FIXTURE(exchange_fixture,
                  "acquittal_beside_many_crash_records_is_reported")
{
    this->crash(this->table, {this->shared}, 1);
    std::vector<base::request_digest> parts;
    for (int number = 0; number < 20; ++number)
        parts.push_back(part(std::to_string(number)));
    this->crash(this->table, parts, 2);
    this->answer(this->table, this->shared);
    const auto reports = this->table.collect_reports(this->now, false);
    CHECK(reports.size() == 16);
    CHECK(std::any_of(reports.begin(), reports.end(), [&](const auto& one) {
        return one.request == this->shared && one.answered_age;
    }));
}

// An entry that lost a connection to the upstream a while ago would not learn
// of its crash.
TEST_CASE_FIXTURE(exchange_fixture,
                  "crash_long_after_a_reset_connection_is_counted")
{
    this->peer.on_crash(
        std::array{this->shared}, this->shop, upstream(1), this->now);
    this->peer.on_upstream_reachable(upstream(1), this->now);
    REQUIRE(this->state(this->peer) == quarantine_state::clear);
    this->now += 1min;
    this->crash(this->table, {this->shared}, 1);
    this->send_reports(this->table, this->peer, false);
    CHECK(this->state(this->peer) == quarantine_state::suspected);
}

// The upstream ends right after it took a connection.
TEST_CASE_FIXTURE(exchange_fixture,
                  "crash_of_an_upstream_then_found_gone_is_counted")
{
    this->peer.on_crash(
        std::array{this->shared}, this->shop, upstream(1), this->now);
    this->peer.on_upstream_reachable(upstream(1), this->now);
    this->now += 100ms;
    this->peer.on_upstream_gone(upstream(1), this->now);
    this->crash(this->table, {this->shared}, 1);
    this->send_reports(this->table, this->peer, false);
    CHECK(this->state(this->peer) == quarantine_state::suspected);
}

// An older build relays the record of a part as that of a request, which takes
// no part in blame.
TEST_CASE_FIXTURE(exchange_fixture,
                  "part_first_reported_as_a_request_becomes_a_part")
{
    suspect_report report{this->shared,
                          this->shop,
                          {{upstream(1), 2s}, {upstream(2), 1s}},
                          {},
                          {}};
    const auto kind = [&] {
        const auto listed = this->table.list_quarantined(this->now);
        REQUIRE(listed.size() == 1);
        return listed.front().kind;
    };
    this->table.merge(std::array{report}, this->now);
    CHECK(kind() == suspect_kind::request);
    report.kind = suspect_kind::prompt_part;
    this->table.merge(std::array{report}, this->now);
    CHECK(kind() == suspect_kind::prompt_part);
    report.kind = suspect_kind::request;
    this->table.merge(std::array{report}, this->now);
    CHECK(kind() == suspect_kind::prompt_part);
}

// A part that an older peer reported as a request would never be blamed, even
// after crashes that this entry itself has seen.
TEST_CASE_FIXTURE(exchange_fixture,
                  "part_reported_as_a_request_crashes_here_becomes_a_part")
{
    const suspect_report report{
        this->shared, this->shop, {{upstream(1), 1s}}, {}, {}};
    this->table.merge(std::array{report}, this->now);
    this->crash(this->table, {this->shared}, 2);
    const auto listed = this->table.list_quarantined(this->now);
    REQUIRE(listed.size() == 1);
    CHECK(listed.front().kind == suspect_kind::prompt_part);
}

// Two entries that each keep a different eight of nine crashes would report
// them to each other for ever.
TEST_CASE_FIXTURE(exchange_fixture,
                  "nine_crashes_at_nearly_one_instant_are_not_repeated")
{
    for (int number = 1; number <= 9; ++number) {
        this->crash(this->table, {this->shared}, number);
        this->crash(this->peer, {this->shared}, 10 - number);
        this->now += 1ms;
    }
    for (int round = 0; round < 2; ++round) {
        this->exchange_reports();
        this->now += 500ms;
    }
    for (int round = 0; round < 10; ++round) {
        CHECK(this->table.collect_reports(this->now, false).empty());
        CHECK(this->peer.collect_reports(this->now, false).empty());
        this->exchange_reports();
        CHECK(this->table.collect_reports(this->now, false).empty());
        CHECK(this->peer.collect_reports(this->now, false).empty());
        this->now += 500ms;
    }
}

} // namespace greengagedrum::quarantine
