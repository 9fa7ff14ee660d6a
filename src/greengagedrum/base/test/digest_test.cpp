#include <greengagedrum/base/digest.hpp>

#include <doctest/doctest.h>

namespace greengagedrum::base
{

// Test vectors of the xxHash specification, which callers in any language can
// use to verify an answer.
TEST_CASE("digest_known_texts_known_digits")
{
    CHECK(digest_of("") == "ef46db3751d8e999");
    CHECK(digest_of("a") == "d24ec4f1a98c6e5b");
    CHECK(digest_of("abc") == "44bc2cf5ad770999");
}

TEST_CASE("hexadecimal_small_value_padded")
{
    CHECK(to_hex(0) == "0000000000000000");
    CHECK(to_hex(0xfU) == "000000000000000f");
    CHECK(to_hex(~0ULL) == "ffffffffffffffff");
}

} // namespace greengagedrum::base
