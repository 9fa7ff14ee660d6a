// The incarnation of a process, from the time of its start.
#pragma once

#include <greengagedrum/base/ids.hpp>

#include <chrono>

namespace greengagedrum::base
{

// `since_epoch`: since the Unix epoch. Higher for a later start.
constexpr incarnation
incarnation_started_at(std::chrono::nanoseconds since_epoch)
{
    constexpr std::int64_t units_per_second = std::int64_t{1} << 24U;
    using unit =
        std::chrono::duration<std::int64_t, std::ratio<1, units_per_second>>;
    const auto whole =
        std::chrono::duration_cast<std::chrono::seconds>(since_epoch);
    const auto rest = std::chrono::duration_cast<unit>(since_epoch - whole);
    return {static_cast<std::uint64_t>(whole.count() * units_per_second +
                                       rest.count())};
}

} // namespace greengagedrum::base
