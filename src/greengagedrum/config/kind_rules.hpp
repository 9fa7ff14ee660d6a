// The rules in force for one kind of request of one workspace: a template's
// kind with the workspace's parameters filled in.
#pragma once

#include <greengagedrum/base/ids.hpp>
#include <greengagedrum/base/repetition.hpp>
#include <greengagedrum/base/tier.hpp>
#include <greengagedrum/base/time.hpp>

#include <cstdint>
#include <string>

namespace greengagedrum::config
{

struct kind_rules {
    std::string name;
    base::kind_id id;
    base::tier tier = base::tier::standard;
    base::repetition repetition = base::repetition::at_most_once;
    base::duration deadline{0};             // from arrival to the whole answer
    base::upstream_class_id upstream_class; // which upstreams may serve it
    std::string model;                      // empty for a plain service
    std::string path;                       // service path, for a plain service
    std::uint32_t max_tokens = 0;           // bound on generated tokens
    bool preemptible = false;            // may be cancelled for a higher tier
    bool overflow = false;               // may be served by another data centre
    std::uint32_t max_in_flight = 0;     // per workspace, all entries; 0: none
    std::uint32_t tokens_per_second = 0; // per workspace, all entries; 0: none
    std::uint32_t answer_bytes_max = 1U << 20U; // bound on a kept answer
};

} // namespace greengagedrum::config
