// Connections that the sending entry keeps: which upstream they make preferred,
// and what follows when one has ended.
#include <greengagedrum/traffic/test/scheduler_fixture.hpp>

namespace greengagedrum::traffic
{

namespace
{

using namespace std::chrono_literals;

request_facts repeatable_facts()
{
    request_facts out = stream_facts();
    out.retry = routing::retry_policy::idempotent;
    out.attempts_max = 2;
    return out;
}

struct kept_upstreams_fixture : scheduler_fixture {
    std::vector<base::upstream_id> all;

    kept_upstreams_fixture()
    {
        this->upstreams(6, 2);
        for (int number = 0; number < 6; ++number)
            this->all.emplace_back("i-" + std::to_string(number));
    }

    void keep(base::upstream_id upstream, base::slot_id sender = this_entry)
    {
        this->tested.set_kept_upstreams(sender, {upstream});
    }

    // Sends a request and returns where it went. Its caller leaves, so that no
    // upstream is known to be faster than another.
    base::upstream_id place(const request_facts& facts)
    {
        const base::request_id id = this->arrive(facts);
        const send_request last = this->sent();
        this->step(caller_left{id});
        return last.upstream;
    }

    void lose_kept_connection(base::request_id id)
    {
        this->step(answer_interrupted{
            id, this->sent().send, interruption_cause::reused_connection_lost});
    }
};

} // namespace

TEST_CASE_FIXTURE(
    kept_upstreams_fixture,
    "among_equal_upstreams_the_one_with_a_kept_connection_is_first")
{
    for (const base::upstream_id one : this->all) {
        this->keep(one);
        CHECK(this->place(repeatable_facts()) == one);
    }
}

// The connection that a request takes is no longer there for the next one.
TEST_CASE_FIXTURE(kept_upstreams_fixture,
                  "kept_connection_draws_one_request_only")
{
    const base::upstream_id usual = this->place(repeatable_facts());
    const base::upstream_id kept = this->all[usual == this->all[0] ? 1 : 0];
    this->keep(kept);
    CHECK(this->place(repeatable_facts()) == kept);
    CHECK(this->place(repeatable_facts()) == usual);
}

TEST_CASE_FIXTURE(kept_upstreams_fixture,
                  "request_that_can_not_use_a_kept_connection_ignores_it")
{
    request_facts once = repeatable_facts();
    once.attempts_max = 1;
    const base::upstream_id usual = this->place(once);
    this->keep(this->all[usual == this->all[0] ? 1 : 0]);
    CHECK(this->place(once) == usual);
    CHECK(this->place(stream_facts()) == usual);
}

// A busy upstream is not equally good.
TEST_CASE_FIXTURE(kept_upstreams_fixture,
                  "kept_connection_does_not_outweigh_load")
{
    const upstream_load load[] = {{this->all[0], 1, 4000, {}}};
    this->tested.on_peer_report(base::slot_id("peer"), load, {}, this->now);
    this->keep(this->all[0]);
    CHECK(this->place(repeatable_facts()) != this->all[0]);
}

// Guards against a caller that waits a tenth longer so that a connection is
// used again.
TEST_CASE_FIXTURE(kept_upstreams_fixture,
                  "kept_connection_does_not_outweigh_sooner_answer")
{
    for (int number = 0; number < 6; ++number) {
        auto near = upstream_named("i-" + std::to_string(number), 2);
        near.data_centre = "hall";
        this->tested.upstream_joined(near, this->now);
    }
    const upstream_load load[] = {{this->all[0], 0, 400, {}}};
    this->tested.on_peer_report(base::slot_id("peer"), load, {}, this->now);
    this->keep(this->all[0]);
    CHECK(this->place(repeatable_facts()) != this->all[0]);
}

TEST_CASE_FIXTURE(kept_upstreams_fixture,
                  "delegated_request_prefers_connections_of_its_sender")
{
    request_facts facts = repeatable_facts();
    const base::upstream_id usual = this->place(facts);
    const base::upstream_id kept = this->all[usual == this->all[0] ? 1 : 0];
    const base::slot_id member("member");
    this->keep(kept, member);
    CHECK(this->place(facts) == usual);
    facts.delegated = true;
    facts.attempts_max = 1;
    facts.sender = member;
    facts.first_event_timeout = 2s;
    CHECK(this->place(facts) == kept);
}

// An upstream closes idle connections in normal operation. Were that counted,
// it would be suspected, or the request quarantined, without a fault.
TEST_CASE_FIXTURE(kept_upstreams_fixture,
                  "kept_connection_that_ended_counts_against_nobody")
{
    for (int time = 0; time < 20; ++time) {
        request_facts facts = repeatable_facts();
        facts.digest = base::digest_of_request("shop", "POST", "/", "body");
        this->keep(this->all[0]);
        const base::request_id id = this->arrive(facts);
        CHECK(this->sent().upstream == this->all[0]);
        this->lose_kept_connection(id);
        CHECK(this->last_action<check_upstream>() == nullptr);
        CHECK(this->last_action<suspicion_changed>() == nullptr);
        this->step(caller_left{id});
    }
    CHECK(this->tested.crash_suspects().empty());
}

// Its outcome is unknown, so the verdict must not say that it has not run.
TEST_CASE_FIXTURE(kept_upstreams_fixture,
                  "kept_connection_that_ended_uses_an_attempt")
{
    const base::request_id id = this->arrive(repeatable_facts());
    this->lose_kept_connection(id);
    this->step(answer_interrupted{id, this->sent().send});
    CHECK(this->verdict().run == base::run_state::may_have_run);
    CHECK(this->tested.counters().retried == 1);
}

} // namespace greengagedrum::traffic
