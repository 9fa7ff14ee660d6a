// From messages to JSON and back, driven by the tables of field_table.hpp.
//
// For the trace slice's own sources. Reading throws `bad_line` or the JSON
// library's exceptions; codec.hpp turns both into errors.
#pragma once

#include <greengagedrum/trace/json_scalars.hpp>

#include <nlohmann/json.hpp>

#include <array>
#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <type_traits>
#include <unordered_map>
#include <variant>
#include <vector>

namespace greengagedrum::trace
{

// More than any recorded answer may have; bounds what a line can allocate.
inline constexpr std::size_t made_up_bytes_max = std::size_t{16} << 20U;

// Thirty years: sums of a few of these can't overflow.
inline constexpr std::int64_t duration_max_us = 1'000'000'000'000'000;

// A body is written as {"length", "digest"}; on reading a body of that length
// is made up, different for different digests.
json body_digest(std::string_view body);
std::string made_up_body(const json& from);

std::string hex_id(std::uint64_t value);
std::uint64_t read_id(const json& from); // "#hex" as it is, a name hashed

// All overloads are declared first: the templates below find no later ones,
// for the messages live in other namespaces than these functions.
template <class Value>
json write(const Value& value);
template <class... Each>
json write(const std::variant<Each...>& value);
template <class Item>
json write(const std::vector<Item>& list);
template <class Item, std::size_t Size>
json write(const Item (&list)[Size]);
template <class Item, std::size_t Size>
json write(const std::array<Item, Size>& list);
template <class Item>
json write(const std::optional<Item>& value);
json write(const idempotency::wall_time& at);
template <class Tag>
json write(const base::name_id<Tag>& id);
json write(const base::incarnation& life);
json write(const base::request_id& id);
json write(const base::duration& time);
json write(const base::instant& at);
json write(const base::answer_ptr& whole);
json write(const config::snapshot_ptr& snapshot);
json write(const std::unordered_map<std::string, config::workspace_rules>& all);

template <class Value>
void read(const json& from, Value& into);
template <class... Each>
void read(const json& from, std::variant<Each...>& into);
template <class Item>
void read(const json& from, std::vector<Item>& into);
template <class Item, std::size_t Size>
void read(const json& from, Item (&into)[Size]);
template <class Item, std::size_t Size>
void read(const json& from, std::array<Item, Size>& into);
template <class Item>
void read(const json& from, std::optional<Item>& into);
void read(const json& from, idempotency::wall_time& into);
template <class Tag>
void read(const json& from, base::name_id<Tag>& into);
void read(const json& from, base::incarnation& into);
void read(const json& from, base::request_id& into);
void read(const json& from, base::duration& into);
void read(const json& from, base::instant& into);
void read(const json& from, base::answer_ptr& into);
void read(const json& from, config::snapshot_ptr& into);
void read(const json& from,
          std::unordered_map<std::string, config::workspace_rules>& into);

template <class Message>
inline constexpr bool has_table =
    std::is_empty_v<Message> ||
    std::tuple_size_v<std::decay_t<decltype(fields_of<Message>)>> != 0;

// A string member of this name is the body of an answer.
inline constexpr std::string_view body_member = "body";

template <class Member>
json write_member(std::string_view name, const Member& value)
{
    if constexpr (std::is_same_v<Member, std::string>) {
        if (name == body_member)
            return body_digest(value);
    }
    return write(value);
}

template <class Message>
json write_fields(const Message& value)
{
    static_assert(has_table<Message>, "the message has no field table");
    json out = json::object();
    std::apply(
        [&](const auto&... one) {
            ((out[std::string(one.name)] =
                  write_member(one.name, value.*(one.place))),
             ...);
        },
        fields_of<Message>);
    return out;
}

// A named thing without an id has the one that its name gives.
template <class Message>
void fill_id(Message& value)
{
    if constexpr (requires {
                      value.id.empty();
                      value.name.empty();
                  }) {
        if (value.id.empty())
            value.id = decltype(value.id)(std::string_view(value.name));
    }
}

// Reads one member under its own name, or in milliseconds under `..._ms`.
template <class Member>
bool read_member(const json& from, std::string_view name, Member& into)
{
    const auto found = from.find(std::string(name));
    if (found != from.end()) {
        if constexpr (std::is_same_v<Member, std::string>) {
            if (name == body_member) {
                into = made_up_body(*found);
                return true;
            }
        }
        read(*found, into);
        return true;
    }
    constexpr std::string_view micro = "_us";
    if (!name.ends_with(micro))
        return false;
    std::string milli(name.substr(0, name.size() - micro.size()));
    const auto in_ms = from.find(milli + "_ms");
    if (in_ms == from.end())
        return false;
    constexpr std::int64_t ms_max = duration_max_us / 1000;
    if (!in_ms->is_number_integer() || in_ms->get<std::int64_t>() > ms_max ||
        in_ms->get<std::int64_t>() < -ms_max)
        throw bad_line(milli + "_ms: a whole number is expected");
    read(json(in_ms->get<std::int64_t>() * 1000), into);
    return true;
}

// Absent members keep their defaults; unknown ones are errors, so that a
// misspelt name in a hand-written trace doesn't pass for a default.
template <class Message>
void read_fields(const json& from, Message& into)
{
    static_assert(has_table<Message>, "the message has no field table");
    if (!from.is_object())
        throw bad_line("an object is expected");
    std::size_t known = 0;
    std::apply(
        [&](const auto&... one) {
            ((known +=
              read_member(from, one.name, into.*(one.place)) ? 1U : 0U),
             ...);
        },
        fields_of<Message>);
    if (known != from.size())
        throw bad_line("unknown member in " + from.dump());
    fill_id(into);
}

// {"TYPE NAME": {members}} for a variant within a message.
template <class... Each>
json write(const std::variant<Each...>& value)
{
    return std::visit(
        [](const auto& one) {
            using message = std::decay_t<decltype(one)>;
            return json{{std::string(name_of<message>), write_fields(one)}};
        },
        value);
}

template <class One, class Variant>
bool read_if(const json& from, Variant& into)
{
    const auto found = from.find(std::string(name_of<One>));
    if (found == from.end())
        return false;
    One value;
    read_fields(*found, value);
    into = std::move(value);
    return true;
}

template <class... Each>
void read(const json& from, std::variant<Each...>& into)
{
    if (!from.is_object() || from.size() != 1 ||
        !(read_if<Each>(from, into) || ...))
        throw bad_line("unknown kind of message: " + from.dump());
}

template <class Item>
json write(const std::vector<Item>& list)
{
    json out = json::array();
    for (const Item& one : list)
        out.push_back(write(one));
    return out;
}

template <class Item>
void read(const json& from, std::vector<Item>& into)
{
    if (!from.is_array())
        throw bad_line("a list is expected");
    for (const json& one : from)
        read(one, into.emplace_back());
}

template <class Item, std::size_t Size>
json write(const Item (&list)[Size])
{
    json out = json::array();
    for (const Item& one : list)
        out.push_back(one);
    return out;
}

template <class Item, std::size_t Size>
void read(const json& from, Item (&into)[Size])
{
    for (std::size_t at = 0; at < Size; ++at)
        read(from.at(at), into[at]);
}

template <class Item, std::size_t Size>
json write(const std::array<Item, Size>& list)
{
    json out = json::array();
    for (const Item& one : list)
        out.push_back(write(one));
    return out;
}

template <class Item, std::size_t Size>
void read(const json& from, std::array<Item, Size>& into)
{
    if (!from.is_array() || from.size() != Size)
        throw bad_line("a list of another length is expected");
    for (std::size_t at = 0; at < Size; ++at)
        read(from.at(at), into[at]);
}

inline json write(const idempotency::wall_time& at)
{
    return at.time_since_epoch().count();
}

inline void read(const json& from, idempotency::wall_time& into)
{
    std::int64_t since = 0;
    read(from, since);
    if (since < 0 || since > duration_max_us)
        throw bad_line("time out of range: " + from.dump());
    into = idempotency::wall_time(std::chrono::milliseconds(since));
}

template <class Item>
json write(const std::optional<Item>& value)
{
    return value ? write(*value) : json(nullptr);
}

template <class Item>
void read(const json& from, std::optional<Item>& into)
{
    if (!from.is_null())
        read(from, into.emplace());
}

template <class Tag>
json write(const base::name_id<Tag>& id)
{
    return hex_id(id.value);
}

template <class Tag>
void read(const json& from, base::name_id<Tag>& into)
{
    into.value = read_id(from);
}

inline json write(const base::incarnation& life)
{
    return life.value;
}
inline void read(const json& from, base::incarnation& into)
{
    read(from, into.value);
}
inline json write(const base::request_id& id)
{
    return id.value;
}
inline void read(const json& from, base::request_id& into)
{
    read(from, into.value);
}
inline json write(const base::duration& time)
{
    return time.count();
}
inline void read(const json& from, base::duration& into)
{
    std::int64_t ticks = 0;
    read(from, ticks);
    if (ticks > duration_max_us || ticks < -duration_max_us)
        throw bad_line("time out of range: " + from.dump());
    into = base::duration(ticks);
}
inline json write(const base::instant& at)
{
    return at.time_since_epoch().count();
}
inline void read(const json& from, base::instant& into)
{
    base::duration since{};
    read(from, since);
    into = base::instant(since);
}

template <class Value>
json write(const Value& value)
{
    if constexpr (std::is_enum_v<Value>)
        return write_name(value);
    else if constexpr (std::is_arithmetic_v<Value> ||
                       std::is_same_v<Value, std::string>)
        return value;
    else
        return write_fields(value);
}

template <class Value>
void read(const json& from, Value& into)
{
    if constexpr (std::is_enum_v<Value>)
        read_name(from, into);
    else if constexpr (std::is_same_v<Value, bool> ||
                       std::is_same_v<Value, std::string>)
        into = from.get<Value>();
    else if constexpr (std::is_arithmetic_v<Value>)
        read_number(from, into);
    else
        read_fields(from, into);
}

} // namespace greengagedrum::trace
