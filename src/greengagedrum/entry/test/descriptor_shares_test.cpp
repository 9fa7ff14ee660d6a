// The parts of a process's descriptors.
#include <greengagedrum/entry/descriptor_shares.hpp>

#include <doctest/doctest.h>

namespace greengagedrum::entry
{

// Guards against parts that add up to more than the process has, so that
// callers take the descriptors of upstreams and of the store.
TEST_CASE("descriptor_shares_of_any_limit_leave_a_reserve")
{
    for (std::uint64_t limit = 64; limit < 10'000; limit += 7) {
        CAPTURE(limit);
        const descriptor_shares parts = share_descriptors(0, limit);
        const std::uint64_t taken = 2 * parts.callers + parts.peers +
                                    2 * parts.tunnels + 2 * parts.operators;
        CHECK(taken < limit);
        CHECK(limit - taken >= std::min<std::uint64_t>(64, limit / 4));
    }
}

TEST_CASE("descriptor_shares_follow_the_lower_limit")
{
    CHECK(share_descriptors(4100, 1024).callers ==
          share_descriptors(0, 1024).callers);
    CHECK(share_descriptors(4100, 1'000'000).callers <
          share_descriptors(0, 1'000'000).callers);
    CHECK(share_descriptors(4100, 1'000'000).callers > 1'000);
}

} // namespace greengagedrum::entry
