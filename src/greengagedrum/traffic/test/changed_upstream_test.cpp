// Upstreams whose published fields change while they are known: a store's item
// may be written by another program.
#include <greengagedrum/traffic/test/scheduler_fixture.hpp>

namespace greengagedrum::traffic
{

namespace
{

using namespace std::chrono_literals;

struct changed_upstream_fixture : scheduler_fixture {
    changed_upstream_fixture() { this->upstreams(2, 1); }

    void change_service(base::duration warmup)
    {
        routing::published_upstream changed = upstream_named("i-0", 1);
        changed.service = base::upstream_class_id("archive");
        changed.warmup = warmup;
        this->tested.upstream_joined(changed, this->now);
    }

    // The upstreams that as many requests as there are slots go to.
    std::vector<base::upstream_id> arrive_twice()
    {
        std::vector<base::upstream_id> out;
        for (int count = 0; count < 2; ++count) {
            this->arrive(stream_facts());
            if (const auto* sent = this->last_action<send_request>())
                out.push_back(sent->upstream);
        }
        return out;
    }
};

} // namespace

// Failure guarded against: a cold upstream stays a member of its former
// service, and the next request for that ends the process.
TEST_CASE_FIXTURE(changed_upstream_fixture,
                  "upstream_that_changes_its_service_leaves_the_former_one")
{
    this->change_service(2s);
    CHECK(this->arrive_twice() == std::vector{base::upstream_id("i-1")});
}

// The same without a warm-up, where the process ends once the upstream leaves.
TEST_CASE_FIXTURE(changed_upstream_fixture,
                  "upstream_that_changed_its_service_leaves_for_good")
{
    this->change_service(0s);
    this->tested.upstream_left(base::upstream_id("i-0"));
    CHECK(this->arrive_twice() == std::vector{base::upstream_id("i-1")});
}

TEST_CASE_FIXTURE(changed_upstream_fixture,
                  "upstream_that_changes_its_service_back_is_used_again")
{
    this->change_service(2s);
    this->upstreams(1, 1);
    CHECK(this->arrive_twice().size() == 2);
}

} // namespace greengagedrum::traffic
