// What lies in the platform's store, read into our own types.
#pragma once

#include <greengagedrum/routing/configuration.hpp>
#include <greengagedrum/routing/store_item.hpp>
#include <greengagedrum/routing/upstream_directory.hpp>

#include <tl/expected.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace greengagedrum::platform
{

inline constexpr std::string_view configuration_key = "op/config";
inline constexpr std::string_view upstream_prefix = "servers/";

inline constexpr std::string_view evacuation_prefix = "op/evacuate/";

// The name of the upstream that an item is about; empty for any other item.
std::string_view upstream_name(std::string_view key);

// The data centre that is evacuated for as long as the item is there; empty
// for any other item.
std::string_view evacuated_data_centre(std::string_view key);

// A fault says what could not be read.
tl::expected<routing::configuration, std::string>
read_configuration(const routing::store_item& item);

// An upstream's own entry is some 300 bytes; a larger one is another writer's.
inline constexpr std::size_t upstream_bytes_most = 64U << 10U;

// Every documented field has to be there, of its type and within its range: an
// entry of another writer names no upstream.
tl::expected<routing::published_upstream, std::string>
read_upstream(const routing::store_item& item);

} // namespace greengagedrum::platform
