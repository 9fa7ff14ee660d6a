// What the published `fleet` document says exists: data centres, the slots of
// their entries, upstreams and models. Addresses are not part of it; they come
// with the platform's list of instances.
#pragma once

#include <greengagedrum/base/ids.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace greengagedrum::config
{

enum class upstream_type : std::uint8_t { engine, service };

struct upstream_entry {
    std::string name;
    base::upstream_id id;
    base::data_centre_id data_centre;
    base::upstream_class_id upstream_class;
    upstream_type type = upstream_type::engine;
    std::string generation;          // hardware generation; a label
    std::vector<std::string> models; // models it may hold
    std::uint32_t max_in_flight = 8; // requests at once, all entries together
    std::uint32_t max_tokens_in_flight = 65536; // prompt and output together
    double prefill_tokens_per_second = 0;       // first guess; learnt later
    double decode_tokens_per_second = 0;        // per stream; first guess
    bool checks_fencing = false; // refuses orders with an old fencing number
};

struct entry_slot {
    std::string name;
    base::slot_id id;
};

struct data_centre {
    std::string name;
    base::data_centre_id id;
    std::string region;
    std::vector<entry_slot> slots;
};

struct model_entry {
    std::string name;
    base::model_id id;
    std::uint32_t size_mib = 0;   // read from the weight store to load it
    std::uint32_t copies_min = 1; // per data centre that has its class
};

struct fleet {
    std::vector<data_centre> data_centres;
    std::vector<upstream_entry> upstreams;
    std::vector<model_entry> models;
};

} // namespace greengagedrum::config
