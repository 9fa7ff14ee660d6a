#include <greengagedrum/entry/store_duty.hpp>

namespace greengagedrum::entry
{

namespace
{

// Three messages between regions in a row.
constexpr base::duration liveness_timeout = std::chrono::milliseconds(1500);

// A dispatcher that has just started is followed before its first answer of
// the store: it reads the listing.
constexpr base::duration start_time = std::chrono::seconds(3);

// Connects within a region differ by less than this.
constexpr base::duration min_difference = std::chrono::milliseconds(5);

} // namespace

void store_duty::record_connect(base::duration took)
{
    this->shortest = this->shortest ? std::min(*this->shortest, took) : took;
}

void store_duty::on_message(const gossip::message& received, base::instant now)
{
    const bool dispatches = !received.delegating && !received.stopping;
    if (!dispatches || received.store_latency.count() == 0) {
        this->readers.erase(received.address);
        return;
    }
    this->readers[received.address] = {now,
                                       now - received.store_age,
                                       now - received.uptime,
                                       received.store_latency};
}

bool store_duty::is_usable(const reader& one, base::instant now) const
{
    const bool live = now - one.received_at <= liveness_timeout;
    const bool answered = now - one.answered_at <= this->max_age;
    const bool starting = now - one.started_at <= start_time;
    return live && (answered || starting);
}

std::optional<gossip::ipv4_address>
store_duty::nearer_reader(base::instant now) const
{
    if (!this->shortest)
        return std::nullopt;
    std::optional<gossip::ipv4_address> nearest;
    base::duration least = *this->shortest / 2;
    for (const auto& [address, one] : this->readers) {
        if (one.latency < least &&
            *this->shortest - one.latency >= min_difference &&
            this->is_usable(one, now)) {
            nearest = address;
            least = one.latency;
        }
    }
    return nearest;
}

} // namespace greengagedrum::entry
