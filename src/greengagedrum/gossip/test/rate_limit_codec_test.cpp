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

} // namespace greengagedrum::gossip
