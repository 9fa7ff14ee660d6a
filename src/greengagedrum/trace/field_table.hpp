// The table of a message: which of its members stand in a trace line, and under
// which name.
//
// One table a type serves writing and reading alike, so the two can't differ.
// Durations and instants are named `..._us`; a reader takes `..._ms`, too.
#pragma once

#include <cstddef>
#include <string_view>
#include <tuple>
#include <type_traits>

namespace greengagedrum::trace
{

template <class Owner, class Member>
struct field {
    std::string_view name;
    Member Owner::*place;
};

template <class Owner, class Member>
constexpr field<Owner, Member> named(std::string_view name,
                                     Member Owner::*place)
{
    return {name, place};
}

// Specialised for each type that has a table.
template <class Message>
inline constexpr std::tuple<> fields_of{};

// Stands for a value of any type where a member is to be counted.
struct any_value {
    template <class Value>
    operator Value() const;
};

// How many members an aggregate has; not for one with a C array in it.
template <class Aggregate, class... Found>
consteval std::size_t member_count()
{
    if constexpr (requires { Aggregate{Found{}..., any_value{}}; })
        return member_count<Aggregate, Found..., any_value>();
    else
        return sizeof...(Found);
}

// Whether each member stands in the table. For messages that leave none out.
template <class Message>
inline constexpr bool has_whole_table =
    member_count<Message>() ==
    std::tuple_size_v<std::decay_t<decltype(fields_of<Message>)>>;

} // namespace greengagedrum::trace
