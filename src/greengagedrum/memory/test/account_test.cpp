#include <greengagedrum/memory/rejection_order.hpp>
#include <greengagedrum/memory/reservation.hpp>
#include <greengagedrum/memory/unread_response.hpp>

#include <doctest/doctest.h>

#include <array>

namespace greengagedrum::memory
{

namespace
{

using namespace std::chrono_literals;

constexpr std::uint64_t small_instance = 160U << 20U;
const base::workspace_id gate{1};
const base::workspace_id hall{2};

struct account_fixture {
    std::shared_ptr<account> bytes =
        std::make_shared<account>(levels_of(small_instance));

    reservation
    hold(kind what, base::workspace_id workspace, std::uint64_t count) const
    {
        reservation out(this->bytes, what, workspace);
        out.resize(count);
        return out;
    }
};

} // namespace

// Guards against levels out of order, and against no room for what isn't
// counted.
TEST_CASE("levels_of_any_process_are_in_order_and_below_its_memory")
{
    for (const std::uint64_t megabytes : {0U, 16U, 61U, 160U, 512U, 4096U}) {
        CAPTURE(megabytes);
        const levels one = levels_of(megabytes << 20U);
        CHECK(one.small_body < one.connection_share);
        CHECK(one.connection_share < one.workspace_share);
        CHECK(one.workspace_share < one.stop_reading);
        CHECK(one.stop_reading < one.reject);
        CHECK(one.reject < one.end_response);
        CHECK(one.end_response < one.capacity);
        if (megabytes >= 160)
            CHECK(one.capacity + (60U << 20U) < megabytes << 20U);
    }
}

// A count that isn't given back would starve the entry.
TEST_CASE_FIXTURE(account_fixture,
                  "reservation_moved_and_destroyed_gives_all_bytes_back")
{
    {
        reservation first = this->hold(kind::request_bodies, gate, 100);
        reservation second = std::move(first);
        first = this->hold(kind::responses, hall, 30);
        second = std::move(first);
        CHECK(this->bytes->held() == 30);
        second.set_kind(kind::tunnels);
        second.set_workspace(gate);
        second.resize(7);
        CHECK(this->bytes->held(kind::responses) == 0);
        CHECK(this->bytes->held(kind::tunnels) == 7);
        CHECK(this->bytes->held(gate) == 7);
        CHECK(this->bytes->held(hall) == 0);
    }
    CHECK(this->bytes->held() == 0);
    CHECK(this->bytes->held(gate) == 0);
}

TEST_CASE("reservation_without_account_counts_nothing")
{
    reservation none;
    none.resize(5);
    CHECK(none.bytes() == 0);
}

// One workspace's callers don't read; another's bodies must still find room.
TEST_CASE_FIXTURE(account_fixture,
                  "body_of_workspace_beyond_its_share_waits_alone")
{
    const reservation held = this->hold(
        kind::responses, gate, this->bytes->levels().workspace_share);
    CHECK_FALSE(this->bytes->may_read_body(gate, 100'000));
    CHECK(this->bytes->may_read_body(hall, 100'000));
}

// Small urgent requests are read beside bodies that must wait.
TEST_CASE_FIXTURE(account_fixture, "small_body_is_read_where_large_ones_wait")
{
    reservation held =
        this->hold(kind::responses, gate, this->bytes->levels().reject + 1);
    CHECK(this->bytes->must_reject());
    CHECK_FALSE(this->bytes->may_read_body(hall, 100'000));
    CHECK(this->bytes->may_read_body(gate, 1'000));
    held.resize(this->bytes->levels().end_response + 1);
    CHECK(this->bytes->must_end_response());
    CHECK_FALSE(this->bytes->may_read_body(hall, 1'000));
}

TEST_CASE("rejection_order_takes_lowest_tier_first_then_largest")
{
    const std::array<rejectable, 5> all = {
        {{0, 9'000}, {2, 50}, {2, 300}, {1, 8'000}, {3, 10}}};
    CHECK(rejection_order(all, 20) == std::vector<std::size_t>{2, 1, 3, 0});
    CHECK(rejection_order(all, 10'000).empty());
}

TEST_CASE("ended_response_has_most_unread_bytes_for_longest")
{
    const std::array<unread_response, 4> all = {
        {{1'000, 10s}, {9'000, 2s}, {50'000, 100ms}, {0, 60s}}};
    CHECK(first_to_end(all, 0s) == 1);
    CHECK(first_to_end(all, 5s) == 0);
    CHECK_FALSE(first_to_end(all, 20s));
}

} // namespace greengagedrum::memory
