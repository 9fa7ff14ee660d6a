// Transfers between simulated entries, and from the store, over links of
// limited capacity. Transfers over the same link share it evenly.
#pragma once

#include <greengagedrum/base/time.hpp>
#include <greengagedrum/gossip/message.hpp>
#include <greengagedrum/relay/http_get.hpp>

#include <functional>
#include <unordered_map>
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
};

class simulated_links
{
public:
    // Capacity of an entry's link in each direction.
    explicit simulated_links(double bytes_per_second)
        : bytes_per_second(bytes_per_second)
    {
    }

    // Capacity of the link of one entry, where it differs.
    void set_capacity(gossip::ipv4_address address, double capacity)
    {
        this->capacities[address] = capacity;
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

    double capacity_of(gossip::ipv4_address address) const;

    double bytes_per_second;
    std::unordered_map<gossip::ipv4_address, double> capacities;
    std::vector<simulated_transfer> transfers;
};

} // namespace greengagedrum::entry::fleet_test
