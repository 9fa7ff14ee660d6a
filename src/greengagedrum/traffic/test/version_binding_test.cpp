// Streams that only upstreams of the version that began them may go on with.
#include <greengagedrum/traffic/test/scheduler_fixture.hpp>

namespace greengagedrum::traffic
{

namespace
{

struct version_fixture : scheduler_fixture {
    void join(const std::string& name, const std::string& version)
    {
        this->tested.upstream_joined(versioned_upstream(name, version),
                                     this->now);
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

} // namespace greengagedrum::traffic
