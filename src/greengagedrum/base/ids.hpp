// Identifiers that are the same in every process.
//
// A name in a configuration document (of an upstream, a workspace or a kind) is
// represented by the 64-bit xxHash of the name, so that instances can exchange
// it without a shared table. `config::check` refuses two names of one type with
// equal hashes.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string_view>

namespace greengagedrum::base
{

// xxHash64 of the name's bytes; never zero, which means "none".
std::uint64_t hash_name(std::string_view name);

// The hash of a name, with a type for each kind of named object.
template <class Tag>
struct name_id {
    std::uint64_t value = 0;

    name_id() = default;
    explicit name_id(std::uint64_t hash) : value(hash) {}
    explicit name_id(std::string_view name) : value(hash_name(name)) {}

    bool empty() const { return this->value == 0; }
    // clang-tidy 14 reports the 0 that a rewritten `<` compares with as a null
    // pointer.
    auto operator<=>(const name_id&) const = default;
};

using data_centre_id = name_id<struct data_centre_tag>;
using slot_id = name_id<struct slot_tag>; // a published slot for an entry
using upstream_id = name_id<struct upstream_tag>;
using workspace_id = name_id<struct workspace_tag>;
using kind_id = name_id<struct kind_tag>;
using model_id = name_id<struct model_tag>;
using upstream_class_id =
    name_id<struct upstream_class_tag>; // a group of equivalent upstreams
using version_id = name_id<struct version_tag>; // of an upstream's software

// The incarnation of an entry process. `value` is the time of its start since
// the Unix epoch, in units of 2^-24 s, so that a later process has a higher
// value.
struct incarnation {
    std::uint64_t value = 0;
    auto operator<=>(const incarnation&) const = default;
};

// A request within the instance that accepted it; never reused within one
// incarnation.
struct request_id {
    std::uint64_t value = 0;
    auto operator<=>(const request_id&) const = default;
};

// One dispatch of a request to an upstream. It also identifies the stream
// there, so that it can be resumed, and is unique across instances because it
// contains the incarnation.
struct dispatch_id {
    incarnation life;
    std::uint64_t sequence = 0;
    auto operator<=>(const dispatch_id&) const = default;
};

} // namespace greengagedrum::base

template <class Tag>
struct std::hash<greengagedrum::base::name_id<Tag>> {
    std::size_t operator()(const greengagedrum::base::name_id<Tag>& id) const
    {
        return static_cast<std::size_t>(id.value);
    }
};

template <>
struct std::hash<greengagedrum::base::request_id> {
    std::size_t operator()(const greengagedrum::base::request_id& id) const
    {
        return std::hash<std::uint64_t>{}(id.value);
    }
};

template <>
struct std::hash<greengagedrum::base::dispatch_id> {
    std::size_t operator()(const greengagedrum::base::dispatch_id& id) const
    {
        constexpr std::uint64_t odd = 0x9e3779b97f4a7c15U;
        return static_cast<std::size_t>((id.life.value * odd) ^ id.sequence);
    }
};
