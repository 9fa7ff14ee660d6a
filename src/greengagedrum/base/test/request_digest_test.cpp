#include <greengagedrum/base/request_digest.hpp>

#include <doctest/doctest.h>

namespace greengagedrum::base
{

TEST_CASE("request_digest_same_request_same_digest")
{
    const auto one = digest_of_request("shop", "POST", "/quote", "body");
    CHECK(one == digest_of_request("shop", "POST", "/quote", "body"));
    CHECK_FALSE(one.empty());
    CHECK(to_hex(one).size() == 32);
}

TEST_CASE("request_digest_any_part_differs_other_digest")
{
    const auto one = digest_of_request("shop", "POST", "/quote", "body");
    CHECK(one != digest_of_request("other", "POST", "/quote", "body"));
    CHECK(one != digest_of_request("shop", "PUT", "/quote", "body"));
    CHECK(one != digest_of_request("shop", "POST", "/quote2", "body"));
    CHECK(one != digest_of_request("shop", "POST", "/quote", "body2"));
}

// Moving bytes from one part to the next must not give an equal digest.
TEST_CASE("request_digest_bytes_moved_between_parts_other_digest")
{
    CHECK(digest_of_request("a", "b", "c", "d") !=
          digest_of_request("ab", "", "c", "d"));
    CHECK(digest_of_request("", "POST", "/x", "yz") !=
          digest_of_request("", "POST", "/xy", "z"));
}

} // namespace greengagedrum::base
