// Announced rate limits in gossip messages.
#include <greengagedrum/gossip/message.hpp>

#include <doctest/doctest.h>

#include <limits>

namespace greengagedrum::gossip
{

using namespace std::chrono_literals;

TEST_CASE("rate_limits_encoded_decode_to_same_fields")
{
    message sent;
    sent.rate_limits = {{base::upstream_id("i-1"), 1.8, 250ms},
                        {base::upstream_id("i-2"), 0, 0s}};
    const auto read = decode_message(encode(sent));
    REQUIRE(read);
    REQUIRE(read->rate_limits.size() == 2);
    CHECK(read->rate_limits.front().upstream == base::upstream_id("i-1"));
    CHECK(read->rate_limits.front().per_second == 1.8);
    CHECK(read->rate_limits.front().age == 250ms);
    CHECK(read->rate_limits.back().per_second == 0);
}

TEST_CASE("rate_limits_that_are_no_rates_are_dropped")
{
    message sent;
    for (const double per_second : {std::numeric_limits<double>::infinity(),
                                    std::numeric_limits<double>::quiet_NaN(),
                                    -1.0})
        sent.rate_limits.push_back({base::upstream_id("i-1"), per_second, 0s});
    const auto read = decode_message(encode(sent));
    REQUIRE(read);
    CHECK(read->rate_limits.empty());
}

TEST_CASE("limit_needs_and_grant_encoded_decode_to_same_fields")
{
    message sent;
    sent.incarnation.value = 3;
    sent.sequence = 12;
    sent.limit_needs = {{base::upstream_class_id("engines"), 9}};
    sent.limit_grant.receiver.value = 5;
    sent.limit_grant.need_number = 11;
    sent.limit_grant.permits = {{base::upstream_id("i-1"), 2, 400ms}};
    const auto read = decode_message(encode(sent));
    REQUIRE(read);
    REQUIRE(read->limit_needs.size() == 1);
    CHECK(read->limit_needs.front().service ==
          base::upstream_class_id("engines"));
    CHECK(read->limit_needs.front().requests == 9);
    const traffic::limit_grant& grant = read->limit_grant;
    CHECK(grant.giver.value == 3);
    CHECK(grant.number == 12);
    CHECK(grant.receiver.value == 5);
    CHECK(grant.need_number == 11);
    REQUIRE(grant.permits.size() == 1);
    CHECK(grant.permits.front().upstream == base::upstream_id("i-1"));
    CHECK(grant.permits.front().requests == 2);
    CHECK(grant.permits.front().lifetime == 400ms);
}

// As from an entry of an earlier build.
TEST_CASE("message_without_limit_fields_has_no_need_and_no_grant")
{
    const auto read = decode_message(encode(message()));
    REQUIRE(read);
    CHECK(read->limit_needs.empty());
    CHECK(read->limit_grant.permits.empty());
}

} // namespace greengagedrum::gossip
