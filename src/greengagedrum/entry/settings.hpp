// What an entry is told at its start: its name and place, its addresses, whom
// to ask, and the bounds that it has to keep.
#pragma once

#include <greengagedrum/base/ip_address.hpp>
#include <greengagedrum/base/time.hpp>
#include <greengagedrum/routing/data_centre_constraint.hpp>

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

namespace greengagedrum::entry
{

struct bounds {
    base::duration stop = std::chrono::seconds(8); // from SIGTERM to the kill
    base::duration configuration = std::chrono::seconds(2); // to be in force
    base::duration drain = std::chrono::seconds(2); // no new work to a leaver
    double retry_ratio = 0.2;                       // of a service's requests
    base::duration retry_window = std::chrono::seconds(10);
    double retry_slack = 0; // in a window, all entries
    base::duration usage_window = std::chrono::seconds(8);
    double usage_overshoot = 0;  // share of a limit that lag may exceed it by
    double usage_slack = 0;      // and in its unit, all entries
    double warmup_overshoot = 1; // times a cold upstream's published rate
    double warmup_slack = 0;     // and in requests of a second, all entries
    // No new work to an evacuated data centre.
    base::duration evacuation = std::chrono::seconds(2);

    // For whatever the store tells to be in force.
    base::duration news() const
    {
        return std::min({this->configuration, this->drain, this->evacuation});
    }
};

struct settings {
    std::string instance;
    std::string data_centre;
    routing::region_map regions; // of all data centres
    std::string ip;
    base::ip_endpoint callers;   // clients' requests
    base::ip_endpoint readiness; // the balancer's question
    base::ip_endpoint control;   // peers' questions
    base::ip_endpoint metrics;
    std::uint16_t peer_port = 0;          // UDP, the same on all instances
    std::vector<base::ip_endpoint> seeds; // control addresses of a few others
    base::ip_endpoint store;
    double processors = 1; // share of a core; the strongest entries place
    entry::bounds bounds;
};

// A "name = value" a line, as --print-settings shows it.
std::string to_text(const settings& given);

} // namespace greengagedrum::entry
