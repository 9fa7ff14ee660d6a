#include <greengagedrum/entry/fleet_test/simulated_links.hpp>

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace greengagedrum::entry::fleet_test
{

namespace
{

// Bytes that a transfer has on its way, in the queue of a full link.
constexpr double window_bytes = 64 << 10;

} // namespace

bool simulated_links::crosses(const simulated_transfer& one) const
{
    return this->regions.region_of(one.from) != this->regions.region_of(one.to);
}

std::size_t simulated_links::crossing(gossip::ipv4_address from,
                                      gossip::ipv4_address to) const
{
    const auto found = this->crossings.find(
        {this->regions.region_of(from), this->regions.region_of(to)});
    return found == this->crossings.end() ? 0 : found->second;
}

void simulated_links::count_crossing(const simulated_transfer& one)
{
    if (std::isfinite(one.bytes_left))
        this->crossings[{this->regions.region_of(one.from),
                         this->regions.region_of(one.to)}] += 1;
}

base::duration simulated_links::queueing_delay(gossip::ipv4_address from,
                                               gossip::ipv4_address to) const
{
    const double seconds = static_cast<double>(this->crossing(from, to)) *
                           window_bytes / this->regions.bytes_per_second;
    return std::chrono::duration_cast<base::duration>(
        std::chrono::duration<double>(seconds));
}

// Bytes of a transfer arrive in every step after the first, or never.
base::duration
simulated_links::time_limit_of(const simulated_transfer& one) const
{
    return std::isfinite(one.bytes_left) &&
                   one.first_byte_delay < one.limits.silence
               ? one.limits.total
               : one.limits.silence;
}

void simulated_links::start(simulated_transfer transfer, base::instant now)
{
    transfer.started_at = now;
    if (this->crosses(transfer))
        transfer.first_byte_delay =
            this->queueing_delay(transfer.from, transfer.to);
    this->count_crossing(transfer);
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
    this->crossings.clear();
    for (const simulated_transfer& one : this->transfers)
        this->count_crossing(one);
    const double region_capacity = this->regions.bytes_per_second * seconds;
    for (simulated_transfer& one : this->transfers) {
        const std::size_t receiving =
            this->sharing(&simulated_transfer::to, one.to);
        const std::size_t sending =
            one.from == store_address
                ? 0
                : this->sharing(&simulated_transfer::from, one.from);
        if (!std::isfinite(one.bytes_left) ||
            now - one.started_at < one.first_byte_delay)
            continue;
        double rate =
            this->capacity_of(one.to) / static_cast<double>(receiving);
        if (sending > 0)
            rate = std::min(rate,
                            this->capacity_of(one.from) /
                                static_cast<double>(sending));
        double moved = seconds * rate;
        if (this->crosses(one)) {
            moved = std::min(
                moved,
                region_capacity /
                    static_cast<double>(this->crossing(one.from, one.to)));
            this->crossed_bytes += moved;
        }
        one.bytes_left -= moved;
    }
    const auto first_ended = std::stable_partition(
        this->transfers.begin(),
        this->transfers.end(),
        [&](const simulated_transfer& one) {
            return one.bytes_left > 0 &&
                   now - one.started_at < this->time_limit_of(one);
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
