// A 64-bit mixing step for rendezvous hashing of values that are hashes or
// counters already.
#pragma once

#include <cstdint>

namespace greengagedrum::placement
{

// The finalizer of splitmix64: every input bit reaches every output bit.
constexpr std::uint64_t mix(std::uint64_t value)
{
    value += 0x9e3779b97f4a7c15U;
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9U;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebU;
    return value ^ (value >> 31U);
}

constexpr std::uint64_t mix(std::uint64_t left, std::uint64_t right)
{
    return mix(left ^ mix(right));
}

} // namespace greengagedrum::placement
