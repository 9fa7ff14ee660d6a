// The fleet and the requests that the bench of the core measures with.
#pragma once

#include <greengagedrum/base/request_spec.hpp>
#include <greengagedrum/config/fleet.hpp>
#include <greengagedrum/membership/messages.hpp>
#include <greengagedrum/placement/mix.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace bench
{

using namespace greengagedrum;

constexpr std::uint32_t prefixes = 500; // in use at once

inline config::fleet make_fleet(std::uint32_t engines, std::uint32_t places)
{
    config::fleet out;
    for (std::uint32_t number = 0; number < engines; ++number) {
        config::upstream_entry entry;
        entry.name = "engine-" + std::to_string(number);
        entry.id = base::upstream_id(entry.name);
        entry.data_centre = base::data_centre_id("zona-4");
        entry.upstream_class = base::upstream_class_id("photo");
        entry.generation = "g" + std::to_string(number % 3);
        entry.models = {"compliance"};
        entry.max_in_flight = places;
        entry.prefill_tokens_per_second = 4000.0 * (1 + number % 3);
        entry.decode_tokens_per_second = 30.0 * (1 + number % 3);
        out.upstreams.push_back(entry);
    }
    return out;
}

inline std::vector<membership::listed_instance>
make_list(const config::fleet& fleet)
{
    std::vector<membership::listed_instance> out;
    for (const config::upstream_entry& entry : fleet.upstreams)
        out.push_back({entry.name,
                       membership::instance_type::upstream,
                       "zona-4",
                       "127.0.0.1:1",
                       membership::listed_state::live});
    return out;
}

// Prompts of 16 to 16,000 tokens; a third of them share 500 prefixes.
inline base::request_spec make_work(std::uint64_t number)
{
    const std::uint64_t random = placement::mix(number);
    base::request_spec out;
    out.workspace = base::workspace_id(1 + random % 50);
    out.kind = base::kind_id(1 + random % 7);
    out.upstream_class = base::upstream_class_id("photo");
    out.model = base::model_id("compliance");
    out.tier = base::all_tiers[random % base::tier_count];
    out.repetition = base::repetition::idempotent;
    out.prompt_tokens = 16U << (random % 11);
    out.output_tokens = 32 + static_cast<std::uint32_t>(random % 500);
    out.prefix_hash = random % 3 == 0 ? 1 + random % prefixes : random;
    return out;
}

} // namespace bench
