// What becomes of a request whose upstream fails at each point of its life.
#include <greengagedrum/delivery/test/scheduler_fixture.hpp>

namespace greengagedrum::delivery
{

using base::repetition;

// A planner's clash check reaches a dead server: the connect is refused, no
// byte left. It must go to the other server, and may still be told not_run.
TEST_CASE_FIXTURE(scheduler_fixture,
                  "at_most_once_connect_refused_dispatched_elsewhere")
{
    const auto id = this->arrive(repetition::at_most_once);
    REQUIRE(this->first_action<start_dispatch>() != nullptr);
    const start_dispatch first = *this->first_action<start_dispatch>();
    this->step(connect_refused{first.dispatch, first.connection});
    CHECK(this->core.find(id)->run_state() == base::run_state::not_run);
    REQUIRE(this->run_until<start_dispatch>(std::chrono::seconds(1)));
    CHECK(this->first_action<start_dispatch>()->upstream != first.upstream);
}

// A clerk's receipt runs through one entry and its answer is lost. The repeat
// reaches an entry that is stopping, which was told of neither: "not_run"
// would have the receipt printed and charged again.
TEST_CASE_FIXTURE(scheduler_fixture, "resend_to_stopping_entry_may_have_run")
{
    this->step(stop_begun{});
    this->arrive_with_key("receipt-1");
    REQUIRE(this->first_action<end_failed>() != nullptr);
    const base::verdict verdict = this->first_action<end_failed>()->verdict;
    CHECK(verdict.run == base::run_state::may_have_run);
    CHECK(verdict.why == base::reason::stopping);
    CHECK(verdict.retry_after);
    this->arrive(repetition::at_most_once); // bears neither ticket nor key
    CHECK(this->first_action<end_failed>()->verdict.run ==
          base::run_state::not_run);
}

// The same repeat reaches an entry that knows of no server that takes it. Its
// key's home is away, so nobody there can tell whether it ran before.
TEST_CASE_FIXTURE(scheduler_fixture, "resend_without_upstream_may_have_run")
{
    this->list_upstreams({});
    this->arrive_with_key("receipt-1");
    REQUIRE(this->first_action<end_failed>() != nullptr);
    CHECK(this->first_action<end_failed>()->verdict.run ==
          base::run_state::may_have_run);
    this->arrive(repetition::at_most_once); // bears neither ticket nor key
    CHECK(this->first_action<end_failed>()->verdict.run ==
          base::run_state::not_run);
}

// The bound of a graceful stop passes while servers work for a ping and for a
// receipt. The ping's stream would go on for nobody and waste its engine; the
// receipt's must run to its end.
TEST_CASE_FIXTURE(scheduler_fixture, "forced_stop_only_idempotent_cancelled")
{
    const auto idempotent = this->arrive(repetition::idempotent);
    this->arrive(repetition::at_most_once);
    this->step(stop_forced{});
    std::size_t stopped_streams = 0;
    for (const action& one : this->actions) {
        if (const auto* stop = std::get_if<stop_stream>(&one)) {
            CHECK(stop->cancel == (stop->request == idempotent));
            stopped_streams += 1;
        }
    }
    CHECK(stopped_streams == 2);
}

// A counter server takes long over a receipt. A plain service has no stream
// that could be read on, so a broken connection loses the answer for good: the
// clerk would be told may_have_run of a receipt that is about to come.
TEST_CASE_FIXTURE(scheduler_fixture, "service_call_slow_connection_kept")
{
    this->call_service(repetition::at_most_once);
    REQUIRE(this->first_action<start_dispatch>() != nullptr);
    const start_dispatch dispatch = *this->first_action<start_dispatch>();
    CHECK_FALSE(this->run_until<stop_stream>(std::chrono::seconds(50)));
    this->now += std::chrono::seconds(1);
    this->step(stream_finished{dispatch.dispatch, make_answer(), 0});
    CHECK(this->first_action<end_answered>() != nullptr);
}

// The same server never answers: at the deadline the clerk is told so, and the
// connection is let go.
TEST_CASE_FIXTURE(scheduler_fixture, "service_call_silent_ended_at_deadline")
{
    this->call_service(repetition::at_most_once);
    CHECK(this->run_until<end_failed>(std::chrono::seconds(61)));
    REQUIRE(this->first_action<end_failed>() != nullptr);
    CHECK(this->first_action<end_failed>()->verdict.run ==
          base::run_state::may_have_run);
    CHECK(this->first_action<end_failed>()->verdict.why ==
          base::reason::upstream_silent);
    CHECK(this->first_action<stop_stream>() != nullptr);
    CHECK(this->core.in_flight() == 0);
}

// A template is pulled through a connection that went silent for good. It may
// be asked for again, and is, at the other server; there is no stream to read
// on at the first.
TEST_CASE_FIXTURE(scheduler_fixture, "idempotent_service_call_silent_retried")
{
    this->call_service(repetition::idempotent);
    REQUIRE(this->first_action<start_dispatch>() != nullptr);
    const base::upstream_id first =
        this->first_action<start_dispatch>()->upstream;
    REQUIRE(this->run_until<start_dispatch>(std::chrono::seconds(30)));
    CHECK(this->first_action<start_dispatch>()->upstream != first);
}

// Both servers are down for a minute: the caller is told not_run at its
// deadline, which is true, for no connect ever succeeded.
TEST_CASE_FIXTURE(scheduler_fixture, "every_connect_refused_not_run")
{
    this->arrive(repetition::at_most_once);
    std::size_t dispatch_count = 0;
    while (this->first_action<end_failed>() == nullptr) {
        if (const auto* start = this->first_action<start_dispatch>()) {
            dispatch_count += 1;
            this->step(connect_refused{start->dispatch, start->connection});
            continue;
        }
        REQUIRE(this->core.next_wake());
        this->now = *this->core.next_wake();
        this->step(tick{});
    }
    CHECK(this->first_action<end_failed>()->verdict.run ==
          base::run_state::not_run);
    CHECK(dispatch_count < 200);
}

// A daemon starts and hears the instance list before its configuration: every
// request was told `no_upstream`, for the list's names meant nothing yet and
// the list was not read again.
TEST_CASE("instance_list_before_config_request_dispatched")
{
    scheduler core(scheduler_fixture::default_options());
    std::vector<action> actions;
    membership::instance_list list;
    list.instances.push_back({"photo-1",
                              membership::instance_type::upstream,
                              "zona-4",
                              "127.0.0.1:1",
                              membership::listed_state::live});
    core.step(instances_listed{list}, base::instant{}, actions);
    config::snapshot snapshot;
    snapshot.fleet.upstreams = {scheduler_fixture::make_upstream("photo-1")};
    core.step(
        config_changed{std::make_shared<const config::snapshot>(snapshot)},
        base::instant{},
        actions);
    request_arrived arrival;
    arrival.request = base::request_id{1};
    arrival.spec.upstream_class = base::upstream_class_id("photo");
    arrival.spec.model = base::model_id("compliance");
    arrival.deadline_after = std::chrono::seconds(1);
    core.step(arrival, base::instant{}, actions);
    REQUIRE(actions.size() == 2); // its ticket, then its dispatch
    CHECK(std::holds_alternative<start_dispatch>(actions.back()));
}

// A dossier's connection breaks after ten tokens: the caller sees the rest of
// the same answer. The stream is read on at the same server; a second dispatch
// would be a second dossier.
TEST_CASE_FIXTURE(scheduler_fixture, "at_most_once_connection_lost_resumed")
{
    this->arrive(repetition::at_most_once);
    const start_dispatch first = *this->first_action<start_dispatch>();
    this->step(stream_progressed{first.dispatch, 10});
    this->step(stream_broken{
        first.dispatch, first.connection, break_cause::connection_lost});
    REQUIRE(this->run_until<start_resume>(std::chrono::seconds(2)));
    CHECK(this->first_action<start_resume>()->upstream == first.upstream);
    CHECK(this->first_action<start_resume>()->offset == 10);
    CHECK(this->first_action<start_dispatch>() == nullptr);
    this->step(stream_finished{first.dispatch, make_answer()});
    CHECK(this->first_action<end_answered>() != nullptr);
}

// A cut between entry and server lasts twenty seconds while a dossier is being
// written. Connects time out; a few tries would give up within seconds and the
// planner would lose an answer that the server finished all the same.
TEST_CASE_FIXTURE(scheduler_fixture, "upstream_unreachable_resume_retried")
{
    this->arrive(repetition::at_most_once);
    const start_dispatch first = *this->first_action<start_dispatch>();
    this->step(stream_progressed{first.dispatch, 10});
    this->step(stream_broken{
        first.dispatch, first.connection, break_cause::connection_lost});
    const base::instant reachable_at = this->now + std::chrono::seconds(20);
    while (this->now < reachable_at) {
        REQUIRE(this->run_until<start_resume>(std::chrono::seconds(5)));
        const start_resume resume = *this->first_action<start_resume>();
        this->now += std::chrono::milliseconds(500);
        this->step(stream_broken{
            resume.dispatch, resume.connection, break_cause::unreachable});
        REQUIRE(this->first_action<end_failed>() == nullptr);
    }
    REQUIRE(this->run_until<start_resume>(std::chrono::seconds(5)));
    this->step(stream_finished{first.dispatch, make_answer()});
    CHECK(this->first_action<end_answered>() != nullptr);
}

// The same cut never heals. After its bound the planner is told the truth.
TEST_CASE_FIXTURE(scheduler_fixture,
                  "upstream_unreachable_for_good_may_have_run")
{
    this->arrive(repetition::at_most_once);
    start_resume last;
    const start_dispatch first = *this->first_action<start_dispatch>();
    this->step(stream_broken{
        first.dispatch, first.connection, break_cause::connection_lost});
    const base::instant bound = this->now + std::chrono::seconds(90);
    while (this->first_action<end_failed>() == nullptr && this->now < bound) {
        if (!this->run_until<start_resume>(std::chrono::seconds(5)))
            continue;
        last = *this->first_action<start_resume>();
        this->now += std::chrono::milliseconds(500);
        this->step(stream_broken{
            last.dispatch, last.connection, break_cause::unreachable});
    }
    REQUIRE(this->first_action<end_failed>() != nullptr);
    CHECK(this->first_action<end_failed>()->verdict.run ==
          base::run_state::may_have_run);
}

// The server restarts in mid-answer and knows nothing of the stream. The
// caller is told that the request may have run: it did, in part.
TEST_CASE_FIXTURE(scheduler_fixture, "at_most_once_stream_unknown_may_have_run")
{
    this->arrive(repetition::at_most_once);
    const start_dispatch first = *this->first_action<start_dispatch>();
    this->step(stream_broken{
        first.dispatch, first.connection, break_cause::unknown_stream});
    REQUIRE(this->first_action<end_failed>() != nullptr);
    CHECK(this->first_action<end_failed>()->verdict.run ==
          base::run_state::may_have_run);
    CHECK(this->core.counters().dispatched == 1);
}

// The same failure with a ping: it may run twice, so its caller is answered by
// the other server.
TEST_CASE_FIXTURE(scheduler_fixture, "idempotent_stream_unknown_retried")
{
    this->arrive(repetition::idempotent);
    const start_dispatch first = *this->first_action<start_dispatch>();
    this->step(stream_broken{
        first.dispatch, first.connection, break_cause::unknown_stream});
    REQUIRE(this->run_until<start_dispatch>(std::chrono::seconds(2)));
    CHECK(this->first_action<start_dispatch>()->upstream != first.upstream);
}

// A connection goes silent for good in mid-answer while the server works on.
// Without a bound on silence the caller waits for ever; the stream is read on
// over a fresh connection, and the broken one's late end changes nothing.
TEST_CASE_FIXTURE(scheduler_fixture, "stream_silent_resumed_on_new_connection")
{
    this->arrive(repetition::at_most_once);
    const start_dispatch first = *this->first_action<start_dispatch>();
    this->step(stream_progressed{first.dispatch, 3});
    REQUIRE(this->run_until<stop_stream>(std::chrono::seconds(30)));
    CHECK_FALSE(this->first_action<stop_stream>()->cancel);
    REQUIRE(this->run_until<start_resume>(std::chrono::seconds(2)));
    this->step(
        stream_broken{first.dispatch, first.connection, break_cause::stopped});
    CHECK(this->actions.empty());
    this->step(stream_finished{first.dispatch, make_answer()});
    CHECK(this->first_action<end_answered>() != nullptr);
}

// The bound of a graceful stop passes with one request in flight and one in
// line: the first may have run, the second did not, and each is told so.
TEST_CASE_FIXTURE(scheduler_fixture,
                  "forced_stop_running_and_queued_verdicts_true")
{
    for (int count = 0; count < 5; ++count)
        this->arrive(repetition::at_most_once);
    this->step(stop_forced{});
    std::size_t not_run = 0;
    std::size_t may_have_run = 0;
    for (const action& one : this->actions) {
        const auto* end = std::get_if<end_failed>(&one);
        if (end == nullptr)
            continue;
        if (end->verdict.run == base::run_state::not_run)
            not_run += 1;
        else
            may_have_run += 1;
    }
    CHECK(may_have_run == 4); // two engines with two places each
    CHECK(not_run == 1);
    CHECK(this->core.in_flight() == 0);
}

} // namespace greengagedrum::delivery
