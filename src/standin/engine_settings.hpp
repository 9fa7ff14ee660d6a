// How a stand-in engine behaves. Speeds are settings, so that a demo may run
// faster than a real engine.
#pragma once

#include <greengagedrum/base/time.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace standin
{

struct engine_settings {
    std::vector<std::string> models = {"compliance"};
    std::string role = "both";
    std::string version = "1";
    double prefill_tokens_per_second = 8000; // shared by all prompts
    double decode_tokens_per_second = 60;    // of a stream that is alone
    double decode_slowdown = 0.02;      // speed / (1 + this * other streams)
    std::uint32_t batch_max = 8;        // streams at once; others wait
    std::uint32_t cache_tokens = 65536; // of the prefix cache
    greengagedrum::base::duration step{2'000}; // of the stepping thread
    greengagedrum::base::duration load_lag{200'000};
    greengagedrum::base::duration cache_event_lag{500'000};
    double cache_event_loss = 0.1; // share of events never shown
    greengagedrum::base::duration model_load_time{500'000};
    greengagedrum::base::duration stream_kept{60'000'000}; // after its end
    bool checks_fencing = true;
    std::size_t threads_max = 512; // one a connection
    std::uint64_t seed = 1;        // of the lost cache events
};

} // namespace standin
