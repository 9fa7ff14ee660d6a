// Which connections may be kept, and which sends may use them.
#include <greengagedrum/relay/reuse_policy.hpp>

#include <doctest/doctest.h>

#include <functional>
#include <utility>

namespace greengagedrum::relay
{

namespace
{

using namespace std::chrono_literals;

finished_call sound_call()
{
    finished_call out;
    out.framing = body_framing::length;
    out.request_written = true;
    out.own_response = true;
    out.idle_timeout = 1s;
    return out;
}

} // namespace

TEST_CASE("sound_call_is_kept_for_half_of_the_timeout")
{
    finished_call call = sound_call();
    CHECK(reuse_policy::time_to_keep(call) == 500ms);
    call.framing = body_framing::chunked;
    call.idle_timeout = 2s;
    CHECK(reuse_policy::time_to_keep(call) == 1s);
    call.idle_timeout = 3600s;
    CHECK(reuse_policy::time_to_keep(call) == 2s);
}

// Each of these leaves open whether the next byte belongs to this response.
TEST_CASE("call_with_any_doubt_is_not_kept")
{
    using change = std::function<void(finished_call&)>;
    const std::pair<const char*, change> changes[] = {
        {"no body",
         [](finished_call& one) { one.framing = body_framing::none; }},
        {"ends at close",
         [](finished_call& one) { one.framing = body_framing::until_close; }},
        {"HTTP/1.0", [](finished_call& one) { one.version = 10; }},
        {"early response",
         [](finished_call& one) { one.request_written = false; }},
        {"second response",
         [](finished_call& one) { one.bytes_follow = true; }},
        {"other attempt", [](finished_call& one) { one.own_response = false; }},
        {"Connection: close", [](finished_call& one) { one.closing = true; }},
        {"tunnel", [](finished_call& one) { one.through_peer = true; }},
        {"no timeout", [](finished_call& one) { one.idle_timeout.reset(); }},
        {"zero timeout", [](finished_call& one) { one.idle_timeout = 0s; }}};
    for (const auto& one : changes) {
        CAPTURE(one.first);
        finished_call call = sound_call();
        one.second(call);
        CHECK_FALSE(reuse_policy::time_to_keep(call));
    }
}

TEST_CASE("only_the_first_direct_send_of_a_repeatable_request_uses_a_kept_one")
{
    CHECK(reuse_policy::may_use_kept({true, true, false}));
    CHECK_FALSE(reuse_policy::may_use_kept({false, true, false}));
    CHECK_FALSE(reuse_policy::may_use_kept({true, false, false}));
    CHECK_FALSE(reuse_policy::may_use_kept({true, true, true}));
}

// With one idle connection of each entry, requests keep three quarters.
TEST_CASE("small_connection_limit_of_a_large_fleet_allows_no_idle_connections")
{
    CHECK(reuse_policy::limit_allows(0, 300));
    CHECK(reuse_policy::limit_allows(530, 79));
    CHECK_FALSE(reuse_policy::limit_allows(300, 79));
}

} // namespace greengagedrum::relay
