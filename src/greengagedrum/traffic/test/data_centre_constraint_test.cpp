// Requests that may run only in some data centres.
#include <greengagedrum/traffic/test/scheduler_fixture.hpp>

namespace greengagedrum::traffic
{

namespace
{

using namespace std::chrono_literals;

// One upstream in the entry's own data centre and two in the only data centre
// that the request may run in.
struct constraint_fixture : scheduler_fixture {
    constraint_fixture()
    {
        this->join("near", "hall");
        this->join("home-1", "home");
        this->join("home-2", "home");
    }

    void join(const std::string& name, const char* data_centre)
    {
        auto upstream = upstream_named(name, 1);
        upstream.data_centre = data_centre;
        this->tested.upstream_joined(upstream, this->now);
    }

    static request_facts bound_facts()
    {
        request_facts out = stream_facts();
        out.allowed_data_centres = {true, {base::data_centre_id("home")}};
        out.retry = routing::retry_policy::resumable;
        out.attempts_max = 3;
        return out;
    }

    static bool is_home(base::upstream_id upstream)
    {
        return upstream != base::upstream_id("near");
    }
};

} // namespace

// Failure guarded against: a request body leaves the region it is bound to.
TEST_CASE_FIXTURE(constraint_fixture,
                  "restricted_request_sent_to_allowed_data_centre_only")
{
    for (int count = 0; count < 2; ++count) {
        this->arrive(bound_facts());
        CHECK(is_home(this->sent().upstream));
    }
    this->arrive(bound_facts());
    CHECK(this->last_action<send_request>() == nullptr);
    // The request waits for its allowed data centre and leaves the free slot to
    // others.
    this->arrive(stream_facts());
    CHECK(this->sent().upstream == base::upstream_id("near"));
}

// Failure guarded against: an interrupted stream is resumed where its body must
// not go.
TEST_CASE_FIXTURE(constraint_fixture,
                  "interrupted_stream_resumed_in_allowed_data_centre_only")
{
    const auto id = this->arrive(bound_facts());
    const auto first = this->sent();
    this->step(events_received{id, first.send, 2});
    this->step(answer_interrupted{id, first.send});
    CHECK(is_home(this->sent().upstream));
    CHECK(this->sent().upstream != first.upstream);
    this->step(answer_interrupted{id, this->sent().send});
    CHECK(this->last_action<send_request>() == nullptr);
}

TEST_CASE_FIXTURE(constraint_fixture,
                  "request_without_allowed_upstream_refused_as_not_run")
{
    this->tested.upstream_left(base::upstream_id("home-1"));
    this->tested.upstream_left(base::upstream_id("home-2"));
    this->arrive(bound_facts());
    CHECK(this->verdict().run == base::run_state::not_run);
    CHECK(this->verdict().why == base::reason::no_upstream);
}

// The dispatcher has an outdated configuration, which allows the request in any
// data centre, and grants a slot in the wrong one.
TEST_CASE_FIXTURE(constraint_fixture,
                  "slot_granted_outside_allowed_data_centre_not_used")
{
    this->tested.set_delegating(true);
    const auto id = this->arrive(bound_facts());
    this->step(slot_granted{id, 1, base::upstream_id("near"), 50ms, 0, 1});
    CHECK(this->last_action<send_request>() == nullptr);
    this->step(slot_granted{id, 2, base::upstream_id("home-1"), 50ms, 0, 1});
    CHECK(this->sent().upstream == base::upstream_id("home-1"));
}

} // namespace greengagedrum::traffic
