// The faults that the stand-in of the platform can be given; each holds until
// it is replaced or `platform_mend` comes.
#pragma once

#include <greengagedrum/base/time.hpp>

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <optional>
#include <variant>

namespace standin
{

// Readers' connections break without an answer; waiting watches too.
struct platform_down {
};

// Documents are served as they were at this revision, also to later watches.
struct platform_stale {
    std::uint64_t revision = 0;
};

// Every read is answered later by this much.
struct platform_delay {
    greengagedrum::base::duration length{};
};

// The instance list is served as it was so long ago.
struct platform_list_lag {
    greengagedrum::base::duration length{};
};

struct platform_mend {
};

using platform_fault = std::variant<platform_down,
                                    platform_stale,
                                    platform_delay,
                                    platform_list_lag,
                                    platform_mend>;

// From {"fault": "down"}, {"fault": "stale", "revision": R}, {"fault":
// "delay" or "list_lag", "ms": N} or {"fault": "mend"}. Empty when malformed.
std::optional<platform_fault> platform_fault_from(const nlohmann::json& json);

} // namespace standin
