// The names of one type, to find two that the program could not tell apart.
//
// Inside the program a name is its 64-bit hash (base/ids.hpp). Two upstreams
// with one hash would be one upstream to it: orders and loads would mix. A
// collision shows only here, so it is refused here.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

namespace greengagedrum::config
{

class name_registry
{
public:
    enum class outcome : std::uint8_t { added, duplicate, collision };

    // `hash` is base::hash_name of the name; tests pass another.
    outcome add(std::string_view name, std::uint64_t hash);
    outcome add(std::string_view name);

private:
    std::unordered_map<std::uint64_t, std::string> names;
};

// What to say of it in a fault; empty for `added`.
std::string_view problem_of(name_registry::outcome outcome);

} // namespace greengagedrum::config
