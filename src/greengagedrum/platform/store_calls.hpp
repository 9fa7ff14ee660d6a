// The calls of the platform's store: their targets, and their answers read
// into our own types.
#pragma once

#include <greengagedrum/base/time.hpp>
#include <greengagedrum/routing/store_item.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace greengagedrum::platform
{

// All items below a prefix, page by page; `after`: the last key of the page
// before.
std::string range_target(std::string_view prefix, std::string_view after);

// What changed after a revision, waiting for at most `wait`. An empty prefix
// means all keys.
std::string watch_target(std::string_view prefix,
                         std::uint64_t revision,
                         base::duration wait);

// The status by which a watch says that its history was dropped.
inline constexpr unsigned history_dropped_status = 410;

// A page of items, or the changes of a watch.
struct store_answer {
    routing::store_item_list items;
    std::uint64_t as_of = 0; // the store's revision
    bool more = false;       // another page follows
};

// Empty when the text isn't of the documented shape.
std::optional<store_answer> read_store_answer(std::string_view text);

} // namespace greengagedrum::platform
