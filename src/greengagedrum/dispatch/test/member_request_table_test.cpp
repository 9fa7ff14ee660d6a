// Tests the dispatcher's table of its members' requests, message by message,
// and the members' status log.
#include <greengagedrum/dispatch/member_request_table.hpp>
#include <greengagedrum/dispatch/send_status_log.hpp>

#include <doctest/doctest.h>

namespace greengagedrum::dispatch
{

namespace
{

const base::slot_id member("member");
const base::slot_id other_member("other");
const base::upstream_id engine("engine");
const base::workspace_id planning("planning");

struct request_table_fixture {
    member_request_table table;
    member_report current_report;
    base::instant now{std::chrono::hours(1)};

    static slot_request slot_request_for(std::uint64_t request,
                                         std::uint32_t send = 1)
    {
        slot_request out;
        out.id = {base::request_id{request}, send};
        out.facts.workspace = planning;
        out.facts.delegated = true;
        out.cost = 100;
        return out;
    }

    request_changes report(std::uint64_t incarnation = 1)
    {
        return this->table.on_report(
            member, base::incarnation{incarnation}, this->current_report, {});
    }

    base::request_id arrive(std::uint64_t request)
    {
        this->current_report.slot_requests.push_back(slot_request_for(request));
        const request_changes changes = this->report();
        REQUIRE(changes.new_requests.size() == 1);
        this->table.build_reply(member, this->now);
        return changes.new_requests.front().first;
    }

    std::optional<limit_charge> grant(base::request_id id)
    {
        traffic::send_request order;
        order.request = id;
        order.send = 1;
        order.upstream = engine;
        return this->table.on_granted(order);
    }

    // The member has sent everything that was granted.
    void run_all()
    {
        for (const slot_request& request : this->current_report.slot_requests)
            this->current_report.running.push_back({request.id, engine, 0});
        this->current_report.slot_requests.clear();
    }
};

} // namespace

TEST_CASE_FIXTURE(request_table_fixture, "slot_request_repeated_arrives_once")
{
    const base::request_id id = this->arrive(7);
    CHECK(member_request_table::is_member_request(id));
    CHECK(this->report().new_requests.empty());
    CHECK(this->table.members_to_answer(this->now).empty());
}

// The datagram with a slot grant is lost. The member goes on asking, and the
// grant is sent again until the member shows that it has sent the request.
TEST_CASE_FIXTURE(request_table_fixture,
                  "slot_grant_sent_until_shown_in_report")
{
    const base::request_id id = this->arrive(7);
    const auto cost = this->grant(id);
    REQUIRE(cost);
    CHECK(cost->amount == 100);
    CHECK(this->table.members_to_answer(this->now).size() == 1);
    CHECK(this->table.build_reply(member, this->now).grants.size() == 1);
    CHECK(this->table.members_to_answer(this->now).empty());
    this->report();
    CHECK(this->table.members_to_answer(this->now).size() == 1);
    CHECK(this->table.build_reply(member, this->now).grants.at(0).upstream ==
          engine);
    this->run_all();
    CHECK(this->report().events.empty());
    CHECK(this->table.members_to_answer(this->now).empty());
    CHECK(this->table.build_reply(member, this->now).grants.empty());
}

// A caller leaves while its request waits, or after the slot was granted. The
// slot must not stay taken, and the limit refunds what was not sent.
TEST_CASE_FIXTURE(request_table_fixture, "send_no_longer_listed_ended")
{
    this->arrive(7);
    this->current_report.slot_requests.clear();
    const request_changes waited = this->report();
    CHECK(waited.events.size() == 1);
    CHECK(waited.refunds.size() == 1);
    this->grant(this->arrive(8));
    this->current_report.slot_requests.clear();
    const request_changes granted = this->report();
    REQUIRE(granted.events.size() == 1);
    CHECK(std::holds_alternative<traffic::caller_left>(granted.events[0]));
    CHECK(granted.refunds.empty());
}

// The reply is lost, and the member has nothing new to report.
TEST_CASE_FIXTURE(request_table_fixture, "reply_not_shown_in_report_sent_again")
{
    this->grant(this->arrive(7));
    this->table.build_reply(member, this->now);
    CHECK(this->table.members_to_answer(this->now).empty());
    this->now += resend_interval;
    CHECK(this->table.members_to_answer(this->now).size() == 1);
    CHECK(this->table.build_reply(member, this->now).grants.size() == 1);
}

// A member sends its report again until the report is acknowledged.
TEST_CASE_FIXTURE(request_table_fixture,
                  "report_with_new_request_answered_at_once")
{
    this->current_report.sequence = 5;
    this->current_report.slot_requests = {slot_request_for(1)};
    this->report();
    CHECK(this->table.members_to_answer(this->now).size() == 1);
    CHECK(this->table.build_reply(member, this->now).acked_report == 5);
    this->report();
    CHECK(this->table.members_to_answer(this->now).empty());
}

TEST_CASE_FIXTURE(request_table_fixture, "status_update_repeated_counts_once")
{
    const base::request_id id = this->arrive(7);
    this->grant(id);
    this->run_all();
    const send_id running_id = this->current_report.running.at(0).id;
    this->current_report.status_updates = {
        {1, running_id, send_status::first_event},
        {2, running_id, send_status::completed}};
    this->current_report.running.clear();
    const request_changes changes = this->report();
    REQUIRE(changes.events.size() == 2);
    CHECK(std::get<traffic::answer_received>(changes.events[1]).request == id);
    CHECK(this->report().events.empty());
    CHECK(this->table.build_reply(member, this->now).acked_status == 2);
}

// A dispatcher takes over from one that died. Its members run requests that it
// has not dispatched; they take slots all the same.
TEST_CASE_FIXTURE(request_table_fixture,
                  "sends_of_previous_dispatcher_count_as_load")
{
    this->current_report.running = {{{base::request_id{3}, 1}, engine, 500},
                                    {{base::request_id{4}, 2}, engine, 0}};
    const request_changes changes = this->report();
    REQUIRE(changes.loads_dispatched_elsewhere.size() == 1);
    CHECK(changes.loads_dispatched_elsewhere[0].requests == 2);
    CHECK(changes.loads_dispatched_elsewhere[0].pending_prefill_tokens == 500);
}

TEST_CASE_FIXTURE(request_table_fixture,
                  "speed_seen_by_member_counts_without_load")
{
    const traffic::upstream_load seen{
        engine, 3, 0, std::chrono::milliseconds(40)};
    const request_changes changes = this->table.on_report(
        member, base::incarnation{1}, this->current_report, {&seen, 1});
    REQUIRE(changes.loads_dispatched_elsewhere.size() == 1);
    CHECK(changes.loads_dispatched_elsewhere[0].requests == 0);
    CHECK(changes.loads_dispatched_elsewhere[0].event_gap ==
          std::chrono::milliseconds(40));
}

TEST_CASE_FIXTURE(request_table_fixture, "restarted_member_old_requests_ended")
{
    this->arrive(7);
    this->current_report.slot_requests = {slot_request_for(1)};
    const request_changes changes = this->report(2);
    CHECK(changes.events.size() == 1);
    CHECK(changes.new_requests.size() == 1);
    CHECK(this->table.remove_member(member).events.size() == 1);
    CHECK(this->table.remove_member(other_member).events.empty());
}

TEST_CASE_FIXTURE(request_table_fixture, "slot_denial_sent_with_retry_after")
{
    const base::request_id id = this->arrive(7);
    const auto cost = this->table.on_denied(
        id, base::not_run(base::reason::overloaded, std::chrono::seconds(2)));
    CHECK(cost);
    const dispatcher_reply reply = this->table.build_reply(member, this->now);
    REQUIRE(reply.denials.size() == 1);
    CHECK(reply.denials[0].retry_after == std::chrono::seconds(2));
    // The member has ended the request: nothing else follows.
    this->current_report.slot_requests.clear();
    const request_changes changes = this->report();
    CHECK(changes.events.empty());
    CHECK(changes.refunds.empty());
}

// The dispatcher must not take a kept connection that ended for a failure of
// the upstream.
TEST_CASE_FIXTURE(request_table_fixture,
                  "kept_connection_that_ended_reaches_dispatcher_as_such")
{
    using traffic::interruption_cause;
    this->grant(this->arrive(7));
    this->run_all();
    const send_id id = this->current_report.running.at(0).id;
    send_status_log log;
    log.record(traffic::answer_interrupted{
        id.request, id.send, interruption_cause::reused_connection_lost});
    this->current_report.status_updates = log.unacknowledged();
    this->current_report.running.clear();
    const request_changes changes = this->report();
    REQUIRE(changes.events.size() == 1);
    CHECK(std::get<traffic::answer_interrupted>(changes.events[0]).cause ==
          interruption_cause::reused_connection_lost);
}

TEST_CASE("status_log_acknowledged_updates_dropped")
{
    send_status_log log;
    const base::request_id id{5};
    log.record(traffic::events_received{id, 1, 1});
    log.record(traffic::events_received{id, 1, 9});
    log.record(traffic::answer_received{id, 1, true});
    REQUIRE(log.unacknowledged().size() == 2);
    CHECK(log.unacknowledged()[0].status == send_status::first_event);
    log.acknowledge(1);
    REQUIRE(log.unacknowledged().size() == 1);
    CHECK(log.unacknowledged()[0].status == send_status::completed);
}

TEST_CASE("status_log_without_dispatcher_bounded")
{
    send_status_log log;
    for (std::uint64_t number = 1; number <= 1000; ++number)
        log.record(traffic::answer_interrupted{base::request_id{number}, 1});
    CHECK(log.unacknowledged().size() == 64);
    CHECK(log.unacknowledged().back().sequence == 1000);
}

} // namespace greengagedrum::dispatch
