// An item of the store as entries pass it on. Only the platform's adapter knows
// its meaning.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace greengagedrum::routing
{

struct store_item {
    std::string key;
    std::string value;
    std::uint64_t revision = 0; // of the last change
    bool removed = false;
};

using store_item_list = std::vector<store_item>;

} // namespace greengagedrum::routing
