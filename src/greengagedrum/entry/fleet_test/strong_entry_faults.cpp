#include <greengagedrum/entry/fleet_test/strong_entry_faults.hpp>

#include <cmath>

namespace greengagedrum::entry::fleet_test
{

namespace
{

using namespace std::chrono_literals;

constexpr base::duration congested_delay = 700ms;
constexpr double congested_link_share = 0.01;

// A slowed process runs for the first part of each interval.
constexpr double slowed_interval = 0.75; // seconds
constexpr double slowed_run_time = 0.05;

} // namespace

bool strong_entry_faults::is_faulty(std::size_t number, double seconds) const
{
    return this->plan.present &&
           (this->plan.all_entries || this->is_strong(number)) &&
           seconds >= this->plan.from && seconds < this->plan.until;
}

bool strong_entry_faults::runs(std::size_t number, double seconds) const
{
    return this->plan.fault != strong_entry_fault::slowed ||
           !this->is_faulty(number, seconds) ||
           std::fmod(seconds, slowed_interval) < slowed_run_time;
}

base::duration strong_entry_faults::send_delay(std::size_t number,
                                               double seconds) const
{
    return this->plan.fault == strong_entry_fault::congested &&
                   this->is_faulty(number, seconds)
               ? congested_delay
               : 0ms;
}

double strong_entry_faults::link_share(std::size_t number, double seconds) const
{
    return this->send_delay(number, seconds) > 0ms ? congested_link_share : 1;
}

void strong_entry_faults::on_sent(std::size_t number,
                                  std::uint64_t bytes,
                                  base::instant leaves)
{
    if (!this->plan.present)
        return;
    send_queue& queue = this->queued[number];
    queue.written += bytes;
    queue.unsent += bytes;
    queue.datagrams.push_back({leaves, bytes});
}

gossip::load_observation strong_entry_faults::queues(std::size_t number,
                                                     base::instant now)
{
    send_queue& queue = this->queued[number];
    while (!queue.datagrams.empty() && queue.datagrams.front().leaves <= now) {
        queue.unsent -= queue.datagrams.front().bytes;
        queue.datagrams.pop_front();
    }
    gossip::load_observation out;
    out.datagram_bytes_written = queue.written;
    out.datagram_bytes_unsent = queue.unsent;
    return out;
}

} // namespace greengagedrum::entry::fleet_test
