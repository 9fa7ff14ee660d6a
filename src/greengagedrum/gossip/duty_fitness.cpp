#include <greengagedrum/gossip/duty_fitness.hpp>

#include <algorithm>

namespace greengagedrum::gossip
{

namespace
{

constexpr base::duration congested_wait = std::chrono::milliseconds(500);
constexpr base::duration short_wait = std::chrono::milliseconds(100);

// Time between two observations of a long wait that establishes a congestion.
constexpr base::duration confirmation_time = std::chrono::milliseconds(200);

// A long wait is forgotten after short ones for this time. A process that is
// short of processor time has ticks in time between late ones.
constexpr base::duration long_wait_max_gap = std::chrono::seconds(1);

// Time without a long wait after which a congestion is over. A return to duty
// costs callers a pause, as the hand-over did.
constexpr base::duration min_recovery_time = std::chrono::seconds(10);
constexpr int max_relapses = 3;
constexpr base::duration relapse_max_gap = std::chrono::seconds(120);

// Resolution of the ages, and bound on the number of records: 60 s of them.
constexpr base::duration record_interval = std::chrono::milliseconds(20);
constexpr std::size_t max_records = 3000;

} // namespace

base::duration
duty_fitness::oldest_datagram_age(const load_observation& observed,
                                  base::instant now)
{
    const std::uint64_t written = observed.datagram_bytes_written;
    const std::uint64_t unsent =
        std::min(observed.datagram_bytes_unsent, written);
    this->bytes_left = std::max(this->bytes_left, written - unsent);
    if (this->writes.empty() ||
        (written > this->writes.back().bytes_written &&
         now - this->writes.back().at >= record_interval))
        this->writes.push_back({now, written});
    // A record whose bytes have all left says nothing of the later ones.
    while (!this->writes.empty() &&
           (this->writes.front().bytes_written <= this->bytes_left ||
            this->writes.size() > max_records))
        this->writes.pop_front();
    if (unsent == 0 || this->writes.empty())
        return base::duration(0);
    return now - this->writes.front().at;
}

base::duration
duty_fitness::transfer_wait(const load_observation& observed) const
{
    if (this->link_bytes_per_second <= 0)
        return base::duration(0);
    return std::chrono::duration_cast<base::duration>(
        std::chrono::duration<double>(
            static_cast<double>(observed.transfer_bytes_unsent) /
            this->link_bytes_per_second));
}

bool duty_fitness::begins(base::instant now)
{
    if (this->short_wait_since &&
        now - *this->short_wait_since >= long_wait_max_gap)
        this->long_wait_since.reset();
    if (this->last_wait < congested_wait)
        return false;
    if (!this->long_wait_since)
        this->long_wait_since = now;
    return now - *this->long_wait_since >= confirmation_time;
}

bool duty_fitness::ends(base::instant now) const
{
    return this->short_wait_since &&
           now - *this->short_wait_since >=
               min_recovery_time * (1 << this->relapses);
}

bool duty_fitness::observe(const load_observation& observed, base::instant now)
{
    this->last_wait = std::max({this->oldest_datagram_age(observed, now),
                                this->transfer_wait(observed),
                                observed.lateness});
    if (this->last_wait > short_wait)
        this->short_wait_since.reset();
    else if (!this->short_wait_since)
        this->short_wait_since = now;
    if (this->congested ? !this->ends(now) : !this->begins(now))
        return false;
    this->congested = !this->congested;
    this->long_wait_since.reset();
    if (!this->congested)
        this->recovered_at = now;
    else if (this->recovered_at)
        this->relapses = now - *this->recovered_at > relapse_max_gap
                             ? 0
                             : std::min(this->relapses + 1, max_relapses);
    return true;
}

} // namespace greengagedrum::gossip
