// One named value of a log line.
#pragma once

#include <concepts>
#include <cstdint>
#include <string_view>
#include <type_traits>
#include <variant>

namespace greengagedrum::logs
{

using field_value =
    std::variant<std::string_view, std::int64_t, std::uint64_t, double, bool>;

// It only views its text: build it in the call of `write`, don't keep it.
struct field {
    std::string_view name;
    field_value value;

    template <class Text>
    requires std::convertible_to<const Text&, std::string_view>
    field(std::string_view key, const Text& text)
        : name(key), value(std::string_view(text))
    {
    }

    template <class Number>
    requires std::is_arithmetic_v<Number> field(std::string_view key,
                                                Number number)
        : name(key), value(widen(number))
    {
    }

private:
    template <class Number>
    static field_value widen(Number number)
    {
        if constexpr (std::is_same_v<Number, bool>)
            return field_value(std::in_place_type<bool>, number);
        else if constexpr (std::is_floating_point_v<Number>)
            return field_value(static_cast<double>(number));
        else if constexpr (std::is_signed_v<Number>)
            return field_value(static_cast<std::int64_t>(number));
        else
            return field_value(static_cast<std::uint64_t>(number));
    }
};

} // namespace greengagedrum::logs
