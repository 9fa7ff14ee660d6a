// The changes that a test makes to a configuration.
#pragma once

#include <greengagedrum/entry/test/configuration_change_fixture.hpp>

#include <chrono>
#include <string>
#include <vector>

namespace greengagedrum::entry
{

// Between two changes that are published one after another.
inline constexpr auto change_interval = std::chrono::milliseconds(20);

struct configuration_change {
    std::string name;
    void (*apply)(configuration_change_fixture& to);
    // With which a request that is not yet at an upstream may be refused.
    std::vector<int> refusals;
    // Every such request is refused.
    bool refuses_all = false;
    // A request waiting for a slot, admitted before, may be refused too.
    bool ends_waiting = false;
    std::chrono::milliseconds rest{0}; // until the requests go on
};

using change_list = std::vector<const configuration_change*>;

const std::vector<configuration_change>& changes();

} // namespace greengagedrum::entry
