// One thing that is wrong with a published document.
//
// Carries all that a person needs to mend it. It says nothing of what is done
// about it: `ggdctl check` prints it, the store shows it and keeps the last
// good version in force.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace greengagedrum::config
{

struct fault {
    std::string document; // "fleet", "template/NAME" or "workspace/NAME"
    std::string pointer;  // JSON pointer (RFC 6901); empty: the whole document
    std::string value;    // as found, as JSON text, shortened; may be empty
    std::string problem;  // "is below the minimum", "is an unknown member"
    std::string bound;    // what would be right; may be empty

    bool operator==(const fault&) const = default;
};

using fault_list = std::vector<fault>;

// "workspace/mixco: /parameters/wait_ms: 5 is below the minimum 1000"
std::string to_text(const fault& what);

// A list longer than this helps nobody, and a hostile document could make one.
inline constexpr std::size_t faults_max = 1000;

// Adds `what` unless the list is full or already holds the same one.
void add_fault(fault_list& faults, fault what);

// `pointer` with one member appended, escaped as RFC 6901 wants it.
std::string pointer_to(std::string_view pointer, std::string_view member);

} // namespace greengagedrum::config
