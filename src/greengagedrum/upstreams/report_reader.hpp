// Reads what an engine says of itself: its load and its cache events.
//
// The text comes from outside; anything of another shape is refused as a
// whole. Source of the shapes: docs/ARCHITECTURE.md, "Model engines".
#pragma once

#include <greengagedrum/placement/messages.hpp>

#include <optional>
#include <string_view>
#include <vector>

namespace greengagedrum::upstreams
{

// The answer of `GET /v1/load`.
std::optional<placement::load_report> read_load(std::string_view text,
                                                base::upstream_id upstream);

// The answer of `GET /v1/cache_events`, in the order given.
std::optional<std::vector<placement::cache_event>>
read_cache_events(std::string_view text, base::upstream_id upstream);

} // namespace greengagedrum::upstreams
