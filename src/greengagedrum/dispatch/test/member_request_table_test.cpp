// A dispatcher's book of its members' sends, message by message.
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

struct desk_fixture {
    member_request_table book;
    member_report told; // what the member says at present
    base::instant now{std::chrono::hours(1)};

    static slot_request wanted(std::uint64_t request, std::uint32_t send = 1)
    {
        slot_request out;
        out.id = {base::request_id{request}, send};
        out.facts.workspace = planning;
        out.facts.delegated = true;
        out.cost = 100;
        return out;
    }

    request_changes report(std::uint64_t life = 1)
    {
        return this->book.on_report(
            member, base::incarnation{life}, this->told, {});
    }

    base::request_id arrive(std::uint64_t request)
    {
        this->told.slot_requests.push_back(wanted(request));
        const request_changes news = this->report();
        REQUIRE(news.new_requests.size() == 1);
        this->book.build_reply(member, this->now);
        return news.new_requests.front().first;
    }

    std::optional<limit_charge> grant(base::request_id id)
    {
        traffic::send_request order;
        order.request = id;
        order.send = 1;
        order.upstream = engine;
        return this->book.on_granted(order);
    }

    // The member has sent what it was granted.
    void run_all()
    {
        for (const slot_request& one : this->told.slot_requests)
            this->told.running.push_back({one.id, engine, 0});
        this->told.slot_requests.clear();
    }
};

} // namespace

TEST_CASE_FIXTURE(desk_fixture, "slot_request_told_again_arrives_once")
{
    const base::request_id id = this->arrive(7);
    CHECK(member_request_table::is_member_request(id));
    CHECK(this->report().new_requests.empty());
    CHECK(this->book.members_to_answer(this->now).empty());
}

// The datagram with a granted place is lost. The member goes on to ask, and is
// told again until it shows that it has sent the request.
TEST_CASE_FIXTURE(desk_fixture, "granted_place_is_told_until_it_is_taken")
{
    const base::request_id id = this->arrive(7);
    const auto cost = this->grant(id);
    REQUIRE(cost);
    CHECK(cost->amount == 100);
    CHECK(this->book.members_to_answer(this->now).size() == 1);
    CHECK(this->book.build_reply(member, this->now).grants.size() == 1);
    CHECK(this->book.members_to_answer(this->now).empty());
    this->report();
    CHECK(this->book.members_to_answer(this->now).size() == 1);
    CHECK(this->book.build_reply(member, this->now).grants.at(0).upstream ==
          engine);
    this->run_all();
    CHECK(this->report().events.empty());
    CHECK(this->book.members_to_answer(this->now).empty());
    CHECK(this->book.build_reply(member, this->now).grants.empty());
}

// A caller leaves while its request waits, or after the place was granted. The
// place must not stay taken, and the limit gets back what was not sent.
TEST_CASE_FIXTURE(desk_fixture, "send_that_is_not_named_any_more_has_ended")
{
    this->arrive(7);
    this->told.slot_requests.clear();
    const request_changes waited = this->report();
    CHECK(waited.events.size() == 1);
    CHECK(waited.refunds.size() == 1);
    this->grant(this->arrive(8));
    this->told.slot_requests.clear();
    const request_changes granted = this->report();
    REQUIRE(granted.events.size() == 1);
    CHECK(std::holds_alternative<traffic::caller_left>(granted.events[0]));
    CHECK(granted.refunds.empty());
}

// The reply is lost, and the member has no reason to say anything.
TEST_CASE_FIXTURE(desk_fixture, "reply_that_nobody_shows_is_told_again")
{
    this->grant(this->arrive(7));
    this->book.build_reply(member, this->now);
    CHECK(this->book.members_to_answer(this->now).empty());
    this->now += resend_interval;
    CHECK(this->book.members_to_answer(this->now).size() == 1);
    CHECK(this->book.build_reply(member, this->now).grants.size() == 1);
}

// A member repeats its report until it knows that it was taken.
TEST_CASE_FIXTURE(desk_fixture, "report_with_something_new_is_answered_at_once")
{
    this->told.sequence = 5;
    this->told.slot_requests = {wanted(1)};
    this->report();
    CHECK(this->book.members_to_answer(this->now).size() == 1);
    CHECK(this->book.build_reply(member, this->now).acked_report == 5);
    this->report();
    CHECK(this->book.members_to_answer(this->now).empty());
}

TEST_CASE_FIXTURE(desk_fixture, "news_told_twice_counts_once")
{
    const base::request_id id = this->arrive(7);
    this->grant(id);
    this->run_all();
    const send_id name = this->told.running.at(0).id;
    this->told.status_updates = {{1, name, send_status::first_event},
                                 {2, name, send_status::completed}};
    this->told.running.clear();
    const request_changes news = this->report();
    REQUIRE(news.events.size() == 2);
    CHECK(std::get<traffic::answer_received>(news.events[1]).request == id);
    CHECK(this->report().events.empty());
    CHECK(this->book.build_reply(member, this->now).acked_status == 2);
}

// A dispatcher takes over from one that died: its members run requests that it
// has not placed. They take places all the same.
TEST_CASE_FIXTURE(desk_fixture, "sends_placed_before_this_dispatcher_count")
{
    this->told.running = {{{base::request_id{3}, 1}, engine, 500},
                          {{base::request_id{4}, 2}, engine, 0}};
    const request_changes news = this->report();
    REQUIRE(news.loads_dispatched_elsewhere.size() == 1);
    CHECK(news.loads_dispatched_elsewhere[0].requests == 2);
    CHECK(news.loads_dispatched_elsewhere[0].pending_prefill_tokens == 500);
}

TEST_CASE_FIXTURE(desk_fixture, "speed_that_a_member_sees_counts_without_load")
{
    const traffic::upstream_load seen{
        engine, 3, 0, std::chrono::milliseconds(40)};
    const request_changes news = this->book.on_report(
        member, base::incarnation{1}, this->told, {&seen, 1});
    REQUIRE(news.loads_dispatched_elsewhere.size() == 1);
    CHECK(news.loads_dispatched_elsewhere[0].requests == 0);
    CHECK(news.loads_dispatched_elsewhere[0].event_gap ==
          std::chrono::milliseconds(40));
}

TEST_CASE_FIXTURE(desk_fixture, "member_that_started_anew_wants_nothing_old")
{
    this->arrive(7);
    this->told.slot_requests = {wanted(1)};
    const request_changes news = this->report(2);
    CHECK(news.events.size() == 1);
    CHECK(news.new_requests.size() == 1);
    CHECK(this->book.remove_member(member).events.size() == 1);
    CHECK(this->book.remove_member(other_member).events.empty());
}

TEST_CASE_FIXTURE(desk_fixture, "declined_place_is_told_with_its_time")
{
    const base::request_id id = this->arrive(7);
    const auto cost = this->book.on_denied(
        id, base::not_run(base::reason::overloaded, std::chrono::seconds(2)));
    CHECK(cost);
    const dispatcher_reply reply = this->book.build_reply(member, this->now);
    REQUIRE(reply.denials.size() == 1);
    CHECK(reply.denials[0].retry_after == std::chrono::seconds(2));
    // The member has ended it: nothing else follows.
    this->told.slot_requests.clear();
    const request_changes news = this->report();
    CHECK(news.events.empty());
    CHECK(news.refunds.empty());
}

TEST_CASE("journal_tells_first_event_once_and_forgets_what_was_taken")
{
    send_status_log journal;
    const base::request_id id{5};
    journal.record(traffic::events_received{id, 1, 1});
    journal.record(traffic::events_received{id, 1, 9});
    journal.record(traffic::answer_received{id, 1, true});
    REQUIRE(journal.unacknowledged().size() == 2);
    CHECK(journal.unacknowledged()[0].status == send_status::first_event);
    journal.acknowledge(1);
    REQUIRE(journal.unacknowledged().size() == 1);
    CHECK(journal.unacknowledged()[0].status == send_status::completed);
}

TEST_CASE("journal_of_a_member_without_dispatcher_is_bounded")
{
    send_status_log journal;
    for (std::uint64_t one = 1; one <= 1000; ++one)
        journal.record(traffic::answer_interrupted{base::request_id{one}, 1});
    CHECK(journal.unacknowledged().size() == 64);
    CHECK(journal.unacknowledged().back().sequence == 1000);
}

} // namespace greengagedrum::dispatch
