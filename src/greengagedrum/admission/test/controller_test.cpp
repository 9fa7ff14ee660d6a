// The order of the line, and who gives up a place in it.
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

    // Ids given out, of those that `takes` says yes to.
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

// Booths ask for reviews while the review model's servers are full. Crop
// checks, which other servers of the class could run, waited behind them.
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

// The line is full of lower work when a ping comes. The ping was refused; the
// bulk request with the most time left gives up its place.
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

// Weekend summaries stand in line behind pings that never end. After its
// floor's age the line is offered ahead of them.
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

// One workspace reaches its limit. Its requests wait apart: a request of the
// same tier from another workspace goes past them, and an end lets one in.
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

// A workspace spends its tokens of two seconds at once, and more; it goes on
// when the debt is paid back, at the time that the line announces.
TEST_CASE_FIXTURE(controller_fixture,
                  "token_bucket_empty_dispatched_after_refill")
{
    const limit_key key{base::workspace_id("mall"), base::kind_id("crop")};
    this->tested.set_limits({{key, limit{.tokens_per_second = 30}}});
    this->enqueue(base::tier::standard, "crop"); // 100 of 60 saved
    this->enqueue(base::tier::standard, "crop");
    CHECK(this->offer(ordinary_only) == std::vector<std::uint64_t>{1});
    REQUIRE(this->tested.next_wake());
    const base::duration wait = *this->tested.next_wake() - this->now;
    CHECK(wait > std::chrono::milliseconds(1333)); // 40 owed at 30 a second
    CHECK(wait < std::chrono::milliseconds(1335));
    this->now = *this->tested.next_wake();
    CHECK(this->offer(ordinary_only) == std::vector<std::uint64_t>{2});
}

} // namespace greengagedrum::admission
