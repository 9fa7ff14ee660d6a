// Transfers between simulated entries, and from the store, over links of
// limited capacity. Transfers over the same link share it evenly.
#pragma once

#include <greengagedrum/base/time.hpp>
#include <greengagedrum/gossip/message.hpp>
#include <greengagedrum/relay/http_get.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

namespace greengagedrum::entry::fleet_test
{

// The sender of a transfer whose link has no limit.
inline constexpr gossip::ipv4_address store_address = 0;

struct simulated_transfer {
    gossip::ipv4_address from = store_address;
    gossip::ipv4_address to = 0;
    double bytes_left = 0; // infinite: the sender does not answer
    relay::answer_limits limits;
    std::function<void(bool whole)> on_end;
    base::instant started_at;
    base::duration first_byte_delay{0};
};

// The link that all traffic between two regions shares.
struct region_links {
    std::function<std::size_t(gossip::ipv4_address)> region_of;
    double bytes_per_second = 0; // in each direction
};

class simulated_links
{
public:
    // Capacity of an entry's link in each direction.
    simulated_links(double bytes_per_second, region_links regions)
        : bytes_per_second(bytes_per_second), regions(std::move(regions))
    {
    }

    // Capacity of the link of one entry, where it differs.
    void set_capacity(gossip::ipv4_address address, double capacity)
    {
        this->capacities[address] = capacity;
    }

    // How long a byte waits for the window of each transfer that crosses
    // between the regions of these addresses in the same direction.
    base::duration queueing_delay(gossip::ipv4_address from,
                                  gossip::ipv4_address to) const;
    std::uint64_t bytes_between_regions() const
    {
        return static_cast<std::uint64_t>(this->crossed_bytes);
    }

    void start(simulated_transfer transfer, base::instant now);

    // Moves bytes for `length`, then ends transfers that are whole or have
    // exceeded a time limit.
    void step(base::instant now, base::duration length);

    // The process at that address has ended: its transfers fail.
    void drop(gossip::ipv4_address address);

private:
    std::size_t sharing(gossip::ipv4_address simulated_transfer::*end,
                        gossip::ipv4_address address) const;

    bool crosses(const simulated_transfer& one) const;
    std::size_t crossing(gossip::ipv4_address from,
                         gossip::ipv4_address to) const;
    void count_crossing(const simulated_transfer& one);
    base::duration time_limit_of(const simulated_transfer& one) const;

    double capacity_of(gossip::ipv4_address address) const;

    double bytes_per_second;
    std::unordered_map<gossip::ipv4_address, double> capacities;
    region_links regions;
    double crossed_bytes = 0;
    // Transfers by the regions of their ends.
    std::map<std::pair<std::size_t, std::size_t>, std::size_t> crossings;
    std::vector<simulated_transfer> transfers;
};

} // namespace greengagedrum::entry::fleet_test
