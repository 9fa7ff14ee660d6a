// The `fleet` document: data centres, entry slots, models and upstreams.
#pragma once

#include <greengagedrum/config/fault.hpp>
#include <greengagedrum/config/fleet.hpp>

#include <optional>
#include <string_view>

namespace greengagedrum::config
{

// Nothing when it has a fault. References within the fleet are checked: the
// data centre and the models of every upstream.
std::optional<fleet> parse_fleet(std::string_view document,
                                 std::string_view text,
                                 fault_list& faults);

} // namespace greengagedrum::config
