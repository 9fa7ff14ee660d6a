// What a run of the soak test is given on the command line.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace soak
{

struct options {
    std::uint64_t seed = 1;
    std::chrono::seconds length{8}; // of the time with faults
    double rate = 120;              // requests per second
    std::size_t memory_mb = 160;    // that each entry may use
    std::string folder;             // of settings and logs; exists
};

} // namespace soak
