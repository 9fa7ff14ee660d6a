// One disturbance from outside, and the drawing of many from a seed.
#pragma once

#include "link.hpp"
#include "upstream.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace soak
{

struct link_fault {
    std::size_t group = 0; // of `world::groups`
    link_state state = link_state::passing;
};

struct upstream_fault {
    std::size_t upstream = 0;
    upstream_state state = upstream_state::serving;
};

// The process is killed and started again at the end.
struct entry_killed {
    std::size_t entry = 0;
};

struct entry_frozen {
    std::size_t entry = 0;
};

// SIGTERM; started again at the end, or once it has stopped if that is later.
struct entry_stopped {
    std::size_t entry = 0;
};

// Half of the callers ask for large responses and don't read them.
struct callers_slow {
};

using fault_kind = std::variant<link_fault,
                                upstream_fault,
                                entry_killed,
                                entry_frozen,
                                entry_stopped,
                                callers_slow>;

struct fault {
    std::chrono::milliseconds at{0};
    std::chrono::milliseconds length{0};
    fault_kind kind;
};

struct fault_targets {
    std::vector<std::string> groups; // names of the groups of links
    std::size_t entries = 0;
    std::size_t upstreams = 0;
};

// All of them end within `length`; no two hit the same target at a time.
std::vector<fault> draw_faults(std::uint64_t seed,
                               std::chrono::milliseconds length,
                               const fault_targets& targets);

std::string to_text(const fault& one, const fault_targets& targets);

} // namespace soak
