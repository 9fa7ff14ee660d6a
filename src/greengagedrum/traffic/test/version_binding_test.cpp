// Streams that only upstreams of the version that began them may go on with.
#include <greengagedrum/traffic/test/scheduler_fixture.hpp>

namespace greengagedrum::traffic
{

namespace
{

using namespace std::chrono_literals;

struct version_fixture : scheduler_fixture {
    void join(const std::string& name, const std::string& version)
    {
        this->tested.upstream_joined(versioned_upstream(name, version),
                                     this->now);
    }

    base::version_id missing_version() const
    {
        const auto* end = this->last_action<end_request>();
        REQUIRE(end != nullptr);
        return end->missing_version;
    }

    // Sends a stream to `name`, which passes its first event on.
    base::request_id begin_stream(const std::string& name)
    {
        const auto id = this->arrive(resumable_facts());
        REQUIRE(this->sent().upstream == base::upstream_id(name));
        this->step(events_received{id, this->sent().send, 1});
        return id;
    }
};

} // namespace

// Failure guarded against: the caller gets a response that two versions wrote.
TEST_CASE_FIXTURE(
    version_fixture,
    "resumed_stream_other_version_available_is_never_continued_there")
{
    this->join("a", "v1");
    const auto id = this->begin_stream("a");
    this->join("other", "v1.1");
    this->join("b", "v1");
    this->step(answer_interrupted{id, 1});
    CHECK(this->sent().upstream == base::upstream_id("b"));
    this->step(answer_interrupted{id, 2});
    CHECK(this->last_action<send_request>() == nullptr);
    CHECK(this->verdict().run == base::run_state::may_have_run);
}

TEST_CASE_FIXTURE(version_fixture, "stream_is_reported_as_bound_once")
{
    this->join("a", "v1");
    const auto id = this->begin_stream("a");
    REQUIRE(this->last_action<stream_bound>() != nullptr);
    CHECK(this->last_action<stream_bound>()->version == base::version_id("v1"));
    this->step(events_received{id, 1, 2});
    CHECK(this->last_action<stream_bound>() == nullptr);
}

TEST_CASE_FIXTURE(version_fixture, "stream_without_an_event_goes_on_anywhere")
{
    this->join("a", "v1");
    const auto id = this->arrive(resumable_facts());
    this->join("other", "v1.1");
    this->step(answer_interrupted{id, 1});
    CHECK(this->sent().upstream == base::upstream_id("other"));
}

TEST_CASE_FIXTURE(version_fixture,
                  "bound_arrival_without_its_version_is_refused_as_not_run")
{
    this->join("other", "v1.1");
    request_facts facts = resumable_facts();
    facts.version = base::version_id("v1");
    this->arrive(facts);
    CHECK(this->verdict().run == base::run_state::not_run);
    CHECK(this->verdict().why == base::reason::no_upstream);
    CHECK(this->missing_version() == facts.version);
}

// Failure guarded against: a stream waits until its deadline for a version that
// has gone.
TEST_CASE_FIXTURE(version_fixture,
                  "bound_stream_in_the_queue_ends_when_its_version_leaves")
{
    this->join("a", "v1");
    const auto id = this->begin_stream("a");
    this->join("b", "v1");
    this->arrive(resumable_facts());
    REQUIRE(this->sent().upstream == base::upstream_id("b"));
    this->join("other", "v1.1");
    this->step(answer_interrupted{id, 1});
    CHECK(this->last_action<end_request>() == nullptr);
    CHECK(this->last_action<send_request>() == nullptr);
    this->tested.upstream_left(base::upstream_id("b"));
    this->advance(1ms);
    CHECK(this->verdict().run == base::run_state::may_have_run);
    CHECK(this->missing_version() == base::version_id("v1"));
}

// Failure guarded against: a bound stream that finds no slot holds up requests
// that could run elsewhere.
TEST_CASE_FIXTURE(version_fixture,
                  "request_behind_a_waiting_bound_one_is_still_sent")
{
    this->join("a", "v1");
    this->arrive(resumable_facts());
    request_facts facts = resumable_facts();
    facts.version = base::version_id("v1");
    this->arrive(facts);
    this->arrive(stream_facts(1));
    CHECK(this->last_action<send_request>() == nullptr);
    this->join("other", "v1.1");
    this->advance(1ms);
    CHECK(this->sent().upstream == base::upstream_id("other"));
}

// Failure guarded against: a bound stream waits for a probe of the only
// upstream that can go on with it, while others of other versions are healthy.
TEST_CASE_FIXTURE(version_fixture,
                  "bound_stream_goes_on_at_a_suspected_upstream_of_its_version")
{
    this->join("b", "v1");
    bool suspected = false;
    while (!suspected) {
        const auto broken = this->arrive(stream_facts());
        this->step(answer_interrupted{broken, 1});
        suspected = this->last_action<suspicion_changed>() != nullptr;
    }
    this->join("other", "v1.1");
    request_facts facts = resumable_facts();
    facts.version = base::version_id("v1");
    this->arrive(facts);
    CHECK(this->sent().upstream == base::upstream_id("b"));
}

// Connects to it fail, so waiting for it costs the caller its time.
TEST_CASE_FIXTURE(version_fixture,
                  "bound_stream_ends_when_its_version_is_unreachable")
{
    this->join("b", "v1");
    const auto lost = this->arrive(resumable_facts());
    this->step(connect_failed{lost, 1});
    this->step(caller_left{lost});
    this->join("a", "v1");
    const auto id = this->begin_stream("a");
    this->join("other", "v1.1");
    this->step(answer_interrupted{id, 1});
    CHECK(this->missing_version() == base::version_id("v1"));
}

// No other upstream can go on with it, so it isn't taken from the one that may
// still recover.
TEST_CASE_FIXTURE(version_fixture,
                  "silent_bound_stream_without_an_alternative_is_not_cancelled")
{
    this->join("a", "v1");
    this->begin_stream("a");
    this->join("other", "v1.1");
    this->advance(1500ms);
    CHECK(this->last_action<cancel_send>() == nullptr);
    CHECK(this->last_action<end_request>() == nullptr);
}

// Failure guarded against: a dispatcher of an older build doesn't read the
// version. The slot counts as not used, and the upstream stays without fault.
TEST_CASE_FIXTURE(version_fixture,
                  "slot_granted_at_another_version_is_given_back")
{
    this->join("a", "v1");
    this->join("other", "v1.1");
    this->tested.set_delegating(true);
    request_facts facts = resumable_facts();
    facts.version = base::version_id("v1");
    const auto id = this->arrive(facts);
    this->step(slot_granted{id, 1, base::upstream_id("other")});
    CHECK(this->last_actions.empty());
    const auto waiting = this->tested.queued_sends(this->now);
    REQUIRE(waiting.size() == 1);
    CHECK(waiting[0].send == 2);
    CHECK(waiting[0].facts.version == facts.version);
    this->step(slot_granted{id, 2, base::upstream_id("a")});
    CHECK(this->sent().upstream == base::upstream_id("a"));
}

TEST_CASE_FIXTURE(version_fixture, "delegated_stream_is_bound_by_its_sender")
{
    this->join("a", "v1");
    request_facts facts = resumable_facts();
    facts.delegated = true;
    facts.first_event_timeout = 2s;
    const auto id = this->arrive(facts);
    this->step(events_received{id, 1, 1});
    CHECK(this->last_action<stream_bound>() == nullptr);
}

} // namespace greengagedrum::traffic
