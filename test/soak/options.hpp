#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace soak
{

// What a run of the test is given on the command line.
struct options {
    std::uint64_t seed = 1;
    std::chrono::seconds length{8}; // of the time with faults
    double rate = 150;              // requests per second
    std::size_t memory_mb = 160;    // that each entry may use
    std::size_t entries = 4;
    std::size_t descriptors = 0; // of each entry; 0: as this program
    bool crashing_part = false;  // upstreams have that fault
    bool machine_faults = false; // those of a machine that is shared
    std::string folder;          // of settings and logs; exists
};

} // namespace soak
