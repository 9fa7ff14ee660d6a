// Enumerators and numbers in trace lines, checked as they are read.
#pragma once

#include <greengagedrum/trace/names.hpp>

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <type_traits>
#include <utility>

namespace greengagedrum::trace
{

using nlohmann::json;

struct bad_line : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// Whether a table names the enumerators 0, 1, 2 and so on, each once.
template <class Enum>
constexpr bool names_all_in_order()
{
    for (std::size_t index = 0; index < names_of<Enum>.size(); ++index) {
        if (static_cast<std::size_t>(names_of<Enum>[index].value) != index)
            return false;
    }
    return !names_of<Enum>.empty();
}

template <class Enum>
json write_name(Enum value)
{
    static_assert(names_all_in_order<Enum>());
    const auto index = static_cast<std::size_t>(value);
    return std::string(
        index < names_of<Enum>.size() ? names_of<Enum>[index].name : "unknown");
}

template <class Enum>
void read_name(const json& from, Enum& into)
{
    static_assert(names_all_in_order<Enum>());
    for (const auto& one : names_of<Enum>) {
        if (from == one.name) {
            into = one.value;
            return;
        }
    }
    throw bad_line("unknown name: " + from.dump());
}

template <class Number>
void read_number(const json& from, Number& into)
{
    if constexpr (std::is_floating_point_v<Number>) {
        into = from.get<Number>();
    } else if (from.is_number_unsigned()) {
        const auto value = from.get<std::uint64_t>();
        if (!std::in_range<Number>(value))
            throw bad_line("number out of range: " + from.dump());
        into = static_cast<Number>(value);
    } else {
        const bool whole = from.is_number_integer();
        if (!whole || !std::in_range<Number>(from.get<std::int64_t>()))
            throw bad_line("a whole number is expected: " + from.dump());
        into = static_cast<Number>(from.get<std::int64_t>());
    }
}

} // namespace greengagedrum::trace
