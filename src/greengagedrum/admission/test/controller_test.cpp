// Tests the order of the queues and the choice of the request to evict.
#include <greengagedrum/admission/controller.hpp>

#include <doctest/doctest.h>

#include <vector>

namespace greengagedrum::admission
{

namespace
{

struct controller_fixture {
    controller tested{options{.waiting_max = 3}};
    base::instant now;
    std::uint64_t last_id = 0;

    std::optional<base::request_id>
    enqueue(base::tier tier,
            const char* model = "compliance",
            base::duration deadline = std::chrono::seconds(60))
    {
        base::request_spec item;
        item.upstream_class = base::upstream_class_id("photo");
        item.model = base::model_id(model);
        item.workspace = base::workspace_id("mall");
        item.kind = base::kind_id(model);
        item.tier = tier;
        item.prompt_tokens = 100;
        item.deadline = this->now + deadline;
        return this->tested.enqueue(base::request_id{++this->last_id},
                                    item,
                                    std::chrono::seconds(1),
                                    false,
                                    this->now);
    }

    // Ids of the dispatched requests; `accepts` decides on each offer.
    template <class Accepts>
    std::vector<std::uint64_t> offer(const Accepts& accepts)
    {
        std::vector<std::uint64_t> out;
        this->tested.offer(this->now,
                           [&](base::request_id id,
                               const base::request_spec& item,
                               grant how) {
                               if (!accepts(item, how))
                                   return false;
                               out.push_back(id.value);
                               return true;
                           });
        return out;
    }
};

bool ordinary_only(const base::request_spec& item, grant how)
{
    static_cast<void>(item);
    return how == grant::ordinary;
}

} // namespace

// Guards against head-of-line blocking between models. Requests of one model
// find no slot because the upstreams of that model are full; requests of
// another model, which other upstreams of the class can run, must not wait
// behind them.
TEST_CASE_FIXTURE(controller_fixture, "model_refused_other_model_dispatched")
{
    this->enqueue(base::tier::urgent, "compliance");
    this->enqueue(base::tier::bulk, "crop");
    const auto dispatched = this->offer([](const base::request_spec& item,
                                           grant how) {
        return how == grant::ordinary && item.model == base::model_id("crop");
    });
    CHECK(dispatched == std::vector<std::uint64_t>{2});
}

TEST_CASE_FIXTURE(controller_fixture,
                  "several_tiers_highest_then_least_slack_first")
{
    this->enqueue(base::tier::standard);
    this->enqueue(base::tier::urgent, "compliance", std::chrono::seconds(9));
    this->enqueue(base::tier::urgent, "compliance", std::chrono::seconds(5));
    CHECK(this->offer(ordinary_only) == std::vector<std::uint64_t>{3, 2, 1});
}

// The queues are full of lower-tier requests when an urgent one arrives. The
// urgent request must not be refused; the bulk request with the most slack is
// evicted.
TEST_CASE_FIXTURE(controller_fixture, "queue_full_lowest_tier_evicted")
{
    this->enqueue(base::tier::bulk, "compliance", std::chrono::seconds(50));
    this->enqueue(base::tier::bulk, "compliance", std::chrono::seconds(90));
    this->enqueue(base::tier::standard, "compliance", std::chrono::hours(1));
    const auto evicted = this->enqueue(base::tier::urgent);
    REQUIRE(evicted);
    CHECK(evicted->value == 2);
    CHECK(this->tested.waiting() == 3);
}

// Guards against starvation. A bulk request waits behind an endless burst of
// urgent ones; after the floor age its queue is offered ahead of them.
TEST_CASE_FIXTURE(controller_fixture, "bulk_past_floor_age_offered_as_floor")
{
    this->enqueue(base::tier::bulk);
    const auto floor_of_bulk = [](const base::request_spec& item, grant how) {
        return how == grant::floor && item.tier == base::tier::bulk;
    };
    CHECK(this->offer(floor_of_bulk).empty());
    REQUIRE(this->tested.next_wake());
    this->now = *this->tested.next_wake();
    CHECK(this->offer(floor_of_bulk) == std::vector<std::uint64_t>{1});
}

// A workspace reaches its limit. Its requests are held apart: a request of the
// same tier under another limit passes them, and the end of a running request
// admits the next held one.
TEST_CASE_FIXTURE(controller_fixture,
                  "limit_reached_held_requests_block_no_others")
{
    const limit_key key{base::workspace_id("mall"), base::kind_id("crop")};
    this->tested.set_limits({{key, limit{.max_in_flight = 1}}});
    this->enqueue(base::tier::standard, "crop");
    this->enqueue(base::tier::standard, "crop");
    this->enqueue(base::tier::standard, "compliance");
    CHECK(this->tested.is_held(base::request_id{2}));
    CHECK(this->offer(ordinary_only) == std::vector<std::uint64_t>{3, 1});
    this->tested.forget(base::request_id{1});
    CHECK(this->offer(ordinary_only) == std::vector<std::uint64_t>{2});
}

// A request takes more tokens than the bucket holds (two seconds of its rate).
// The next one is admitted when the debt is repaid, at the time that
// next_wake() returns.
TEST_CASE_FIXTURE(controller_fixture,
                  "token_bucket_empty_dispatched_after_refill")
{
    const limit_key key{base::workspace_id("mall"), base::kind_id("crop")};
    this->tested.set_limits({{key, limit{.tokens_per_second = 30}}});
    this->enqueue(base::tier::standard, "crop"); // 100 tokens, 60 in the bucket
    this->enqueue(base::tier::standard, "crop");
    CHECK(this->offer(ordinary_only) == std::vector<std::uint64_t>{1});
    REQUIRE(this->tested.next_wake());
    const base::duration wait = *this->tested.next_wake() - this->now;
    CHECK(wait >
          std::chrono::milliseconds(1333)); // debt of 40 at 30 per second
    CHECK(wait < std::chrono::milliseconds(1335));
    this->now = *this->tested.next_wake();
    CHECK(this->offer(ordinary_only) == std::vector<std::uint64_t>{2});
}

} // namespace greengagedrum::admission
