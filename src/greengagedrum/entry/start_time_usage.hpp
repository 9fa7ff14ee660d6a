// How many of the items under upstreams' keys have a start time.
//
// Upstreams either all publish one or none does. An item without one is no
// upstream's where at least as many have one.
#pragma once

#include <cstddef>
#include <string>
#include <unordered_map>

namespace greengagedrum::entry
{

class start_time_usage
{
public:
    void record(const std::string& key, bool has_start_time);
    void forget(const std::string& key);

    // Whether an item of an upstream has a start time.
    bool is_expected() const;

private:
    std::unordered_map<std::string, bool> items; // by key
    std::size_t with_start_time = 0;
};

} // namespace greengagedrum::entry
