// How many tokens answers of a workspace's kind usually have.
//
// A request states only the most it may generate. It is not a bound on
// anything: only estimates of time use it.
#pragma once

#include <greengagedrum/base/request_spec.hpp>

#include <cstdint>
#include <unordered_map>

namespace greengagedrum::placement
{

class output_estimate
{
public:
    void learn(const base::request_spec& item, std::uint32_t tokens);

    // Never above what the request may generate; half of it while nothing is
    // known.
    double expected(const base::request_spec& item) const;

private:
    struct average {
        double tokens = 0;
        double count = 0;
    };

    std::unordered_map<std::uint64_t, average> known; // bounded
};

} // namespace greengagedrum::placement
