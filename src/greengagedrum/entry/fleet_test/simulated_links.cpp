#include <greengagedrum/entry/fleet_test/simulated_links.hpp>

#include <algorithm>
#include <cmath>
#include <iterator>
#include <limits>
#include <utility>

namespace greengagedrum::entry::fleet_test
{

namespace
{

// Bytes of a transfer arrive in every step, or never.
base::duration time_limit_of(const simulated_transfer& one)
{
    return std::isfinite(one.bytes_left) ? one.limits.total
                                         : one.limits.silence;
}

} // namespace

void simulated_links::start(simulated_transfer transfer, base::instant now)
{
    transfer.started_at = now;
    this->transfers.push_back(std::move(transfer));
}

std::size_t
simulated_links::sharing(gossip::ipv4_address simulated_transfer::*end,
                         gossip::ipv4_address address) const
{
    return static_cast<std::size_t>(std::count_if(
        this->transfers.begin(),
        this->transfers.end(),
        [&](const simulated_transfer& one) {
            return one.*end == address && std::isfinite(one.bytes_left);
        }));
}

double simulated_links::capacity_of(gossip::ipv4_address address) const
{
    const auto found = this->capacities.find(address);
    return found == this->capacities.end() ? this->bytes_per_second
                                           : found->second;
}

void simulated_links::step(base::instant now, base::duration length)
{
    const double seconds = std::chrono::duration<double>(length).count();
    for (simulated_transfer& one : this->transfers) {
        const std::size_t receiving =
            this->sharing(&simulated_transfer::to, one.to);
        const std::size_t sending =
            one.from == store_address
                ? 0
                : this->sharing(&simulated_transfer::from, one.from);
        if (std::isfinite(one.bytes_left))
            one.bytes_left -=
                seconds * std::min(this->capacity_of(one.to) /
                                       static_cast<double>(receiving),
                                   sending == 0
                                       ? std::numeric_limits<double>::infinity()
                                       : this->capacity_of(one.from) /
                                             static_cast<double>(sending));
    }
    const auto first_ended = std::stable_partition(
        this->transfers.begin(),
        this->transfers.end(),
        [&](const simulated_transfer& one) {
            return one.bytes_left > 0 &&
                   now - one.started_at < time_limit_of(one);
        });
    const std::vector<simulated_transfer> ended(
        std::make_move_iterator(first_ended),
        std::make_move_iterator(this->transfers.end()));
    this->transfers.erase(first_ended, this->transfers.end());
    for (const simulated_transfer& one : ended)
        one.on_end(one.bytes_left <= 0);
}

void simulated_links::drop(gossip::ipv4_address address)
{
    std::erase_if(this->transfers, [&](const simulated_transfer& one) {
        return one.to == address;
    });
    for (simulated_transfer& one : this->transfers) {
        if (one.from == address)
            one.limits = {};
    }
}

} // namespace greengagedrum::entry::fleet_test
