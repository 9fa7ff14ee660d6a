// Numbers of the platform's JSON, brought within what our types can hold.
#pragma once

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <limits>

namespace greengagedrum::platform
{

// Failure guarded against: a number such as 1e45 where a count is due, whose
// conversion is undefined. Beyond the type it counts as its highest value,
// below zero or no number at all as zero. Throws json::type_error for what is
// not a number.
template <class Number>
Number bounded_number(const nlohmann::json& from)
{
    if (from.is_number_unsigned()) {
        const auto whole = from.get<std::uint64_t>();
        constexpr auto most =
            static_cast<std::uint64_t>(std::numeric_limits<Number>::max());
        return static_cast<Number>(std::min(whole, most));
    }
    // Doubles hold whole numbers up to 2^53.
    constexpr double exact = 9007199254740992.0;
    const double most = std::min(
        exact, static_cast<double>(std::numeric_limits<Number>::max()));
    const double value = from.get<double>();
    return std::isnan(value)
               ? Number{}
               : static_cast<Number>(std::clamp(value, 0.0, most));
}

template <class Number>
Number
bounded_number(const nlohmann::json& from, const char* name, Number otherwise)
{
    const auto found = from.find(name);
    return found == from.end() ? otherwise : bounded_number<Number>(*found);
}

} // namespace greengagedrum::platform
