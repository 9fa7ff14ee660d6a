// Recovery of a request whose upstream or entry fails, for each phase of the
// request.
#include <greengagedrum/delivery/test/scheduler_fixture.hpp>

namespace greengagedrum::delivery
{

using base::repetition;

// The connect is refused, so no byte of the request was written. The request
// must be dispatched to the other upstream, and may still end with not_run.
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

// A request runs through one entry and its answer is lost. The caller resends
// it to a stopping entry that knows nothing of the first run. A not_run verdict
// there would make the caller run the request a second time.
TEST_CASE_FIXTURE(scheduler_fixture, "resend_to_stopping_entry_may_have_run")
{
    this->step(stop_begun{});
    this->arrive_with_key("receipt-1");
    REQUIRE(this->first_action<end_failed>() != nullptr);
    const base::verdict verdict = this->first_action<end_failed>()->verdict;
    CHECK(verdict.run == base::run_state::may_have_run);
    CHECK(verdict.why == base::reason::stopping);
    CHECK(verdict.retry_after);
    this->arrive(repetition::at_most_once); // without ticket or key
    CHECK(this->first_action<end_failed>()->verdict.run ==
          base::run_state::not_run);
}

// The request is resent to an entry that has no upstream for it. The home entry
// of the key is unreachable, so this entry can't tell whether the request ran.
TEST_CASE_FIXTURE(scheduler_fixture, "resend_without_upstream_may_have_run")
{
    this->list_upstreams({});
    this->arrive_with_key("receipt-1");
    REQUIRE(this->first_action<end_failed>() != nullptr);
    CHECK(this->first_action<end_failed>()->verdict.run ==
          base::run_state::may_have_run);
    this->arrive(repetition::at_most_once); // without ticket or key
    CHECK(this->first_action<end_failed>()->verdict.run ==
          base::run_state::not_run);
}

// The time limit of a graceful stop passes while an idempotent and an
// at-most-once request run. The idempotent stream is cancelled, since it would
// use its upstream for no caller; the at-most-once stream must run to its end.
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

// A plain service takes long to answer. It has no stream that could be resumed,
// so closing the connection as silent would lose the answer for good, and the
// caller would get may_have_run just before the answer arrives.
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

// A plain service never answers: the request ends at its deadline and the
// connection is closed.
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

// A call to a plain service stays silent for good. The call is idempotent, so
// it is retried at the other upstream; the first has no stream to resume.
TEST_CASE_FIXTURE(scheduler_fixture, "idempotent_service_call_silent_retried")
{
    this->call_service(repetition::idempotent);
    REQUIRE(this->first_action<start_dispatch>() != nullptr);
    const base::upstream_id first =
        this->first_action<start_dispatch>()->upstream;
    REQUIRE(this->run_until<start_dispatch>(std::chrono::seconds(30)));
    CHECK(this->first_action<start_dispatch>()->upstream != first);
}

// Both upstreams are down until the deadline. The verdict is not_run, which is
// true because no connect succeeded.
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

// A daemon receives the instance list before its configuration. The names in
// the list are unknown at that time, so the list must be applied again with the
// configuration; otherwise every request ends with `no_upstream`.
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

// The connection of an at-most-once request breaks after ten tokens. The stream
// is resumed at the same upstream, so that the caller gets the rest of the same
// answer; a second dispatch would run the request twice.
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

// The network between entry and upstream is down for 20 s during an
// at-most-once request. Connects time out. If the entry gave up after a few
// attempts, within seconds, the caller would lose an answer that the upstream
// completes.
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

// The upstream stays unreachable. The request ends with may_have_run once the
// time limit for resuming has passed.
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

// The upstream restarts in the middle of an answer and no longer knows the
// stream. The verdict is may_have_run, since the request ran in part.
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

// An upstream no longer knows the stream of an idempotent request, which may
// run twice and is retried at the other upstream.
TEST_CASE_FIXTURE(scheduler_fixture, "idempotent_stream_unknown_retried")
{
    this->arrive(repetition::idempotent);
    const start_dispatch first = *this->first_action<start_dispatch>();
    this->step(stream_broken{
        first.dispatch, first.connection, break_cause::unknown_stream});
    REQUIRE(this->run_until<start_dispatch>(std::chrono::seconds(2)));
    CHECK(this->first_action<start_dispatch>()->upstream != first.upstream);
}

// A connection goes silent in the middle of an answer while the upstream keeps
// running. Without a timeout the caller would wait for ever. The stream is
// resumed on a new connection; the late end of the old connection is ignored.
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

// The time limit of a graceful stop passes with requests running and one in the
// queue. Running requests end with may_have_run, the queued one with not_run.
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
    CHECK(may_have_run == 4); // two upstreams with two slots each
    CHECK(not_run == 1);
    CHECK(this->core.in_flight() == 0);
}

} // namespace greengagedrum::delivery
