// What an entry is given at its start: its name, location and addresses, the
// addresses of the store and of other entries, and the bounds it must keep.
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
    // Time from SIGTERM to SIGKILL.
    base::duration stop_timeout = std::chrono::seconds(8);
    // Time until a configuration change is in force.
    base::duration configuration_delay = std::chrono::seconds(2);
    // Time until a draining upstream gets no new work.
    base::duration drain_delay = std::chrono::seconds(2);
    double retry_ratio = 0.2; // retries per request of a service
    base::duration retry_window = std::chrono::seconds(10);
    double retry_slack = 0; // extra retries in a window, over all entries
    base::duration usage_window = std::chrono::seconds(8);
    // Share by which a limit may be exceeded due to delays between entries.
    double usage_overshoot = 0;
    double usage_slack = 0; // extra units beyond that share, over all entries
    double warmup_overshoot = 1; // multiple of a cold upstream's published rate
    double warmup_slack = 0;     // extra requests a second, over all entries
    // Time until an evacuated data centre gets no new work.
    base::duration evacuation_delay = std::chrono::seconds(2);

    // The shortest delay allowed for anything that the store publishes.
    base::duration shortest_update_delay() const
    {
        return std::min({this->configuration_delay,
                         this->drain_delay,
                         this->evacuation_delay});
    }
};

struct settings {
    std::string instance;
    std::string data_centre;
    routing::region_map regions; // region of each data centre
    std::string ip;
    base::ip_endpoint caller_address;    // clients' requests
    base::ip_endpoint readiness_address; // load balancer's probes
    base::ip_endpoint control_address;   // peers' requests for store items
    base::ip_endpoint metrics_address;
    std::uint16_t peer_port = 0; // UDP, the same on all instances
    // Control addresses of a few other entries.
    std::vector<base::ip_endpoint> seeds;
    base::ip_endpoint store_address;
    double processors = 1; // in cores; entries with the most become dispatchers
    // The memory that the process may use; 0: no limit is known. A process that
    // exceeds it is killed, with all requests that it holds.
    std::uint64_t memory_bytes = 0;
    // Whether idle connections to upstreams are kept for further requests.
    bool keeps_connections = false;
    double link_bytes_per_second = 0;  // in each direction; 0: unknown
    std::uint64_t max_descriptors = 0; // 0: unknown
    entry::bounds bounds;
    // Whether duties go to entries by their present load: set where entries are
    // of several sizes and links are slow.
    bool duties_by_load = false;
};

// One "name = value" per line, as printed by --print-settings.
std::string to_text(const settings& values);

} // namespace greengagedrum::entry
