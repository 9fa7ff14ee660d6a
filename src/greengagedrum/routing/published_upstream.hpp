// An upstream as it publishes itself in the store.
#pragma once

#include <greengagedrum/base/ids.hpp>
#include <greengagedrum/base/ip_address.hpp>
#include <greengagedrum/base/time.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace greengagedrum::routing
{

struct published_upstream {
    std::string name;
    base::upstream_id id; // of this incarnation, see incarnation_id()
    // Start time by the upstream's own clock.
    std::optional<std::uint64_t> started_unix_ms;
    base::upstream_class_id service;
    base::version_id version; // of its software, not of its models' weights
    base::ip_endpoint address;
    std::string data_centre;
    std::uint32_t slots = 1;
    bool leaving = false;
    base::duration warmup{0};   // remaining time for which it is cold
    std::uint64_t revision = 0; // of the store
};

// The id of one incarnation of an upstream. Without a start time a name has a
// single incarnation.
base::upstream_id incarnation_id(std::string_view name,
                                 std::optional<std::uint64_t> started_unix_ms);

// Versions of different services differ, whatever their names.
base::version_id service_version_id(std::string_view service,
                                    std::string_view version);

} // namespace greengagedrum::routing
