// One item of the store as it is passed between entries: its meaning is known
// to the platform's adapter alone.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace greengagedrum::routing
{

struct store_item {
    std::string key;
    std::string value;
    std::uint64_t revision = 0; // of its last change
    bool removed = false;
};

using store_item_list = std::vector<store_item>;

} // namespace greengagedrum::routing
