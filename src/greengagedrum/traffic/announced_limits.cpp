#include <greengagedrum/placement/mix.hpp>
#include <greengagedrum/placement/seconds.hpp>
#include <greengagedrum/traffic/announced_limits.hpp>
#include <greengagedrum/traffic/limit_permits.hpp>

#include <algorithm>
#include <cmath>

namespace greengagedrum::traffic
{

namespace
{

using placement::duration_of;
using placement::seconds_of;

// Entries without a part of a limit hear of its end only from others. A limit
// of which nothing has been heard for this time is dropped.
constexpr base::duration record_lifetime = std::chrono::seconds(30);

// A report is repeated for this time, in case datagrams are lost.
constexpr base::duration report_lifetime = std::chrono::seconds(2);

// Entries with a part, for each request a second of the limit.
constexpr double sharers_per_request = 2;

// Part of a second's requests that may be sent at once.
constexpr double burst_seconds = 0.25;

// What upstreams tolerate in any window: a multiple of the limit and a number
// of requests.
constexpr double window_seconds = 4;
constexpr double window_overshoot = 1.5;
constexpr double window_slack = 5;

// Part of that tolerance that permits may take up, beside the bursts; the rest
// is kept for changes of parts.
constexpr double permit_share = 0.5;

double burst_of(double rate)
{
    return std::max(1.0, rate * burst_seconds);
}

} // namespace

bool announced_limits::record(const announced_limit& what,
                              limit_source source,
                              base::instant now)
{
    this->remove_expired(now);
    const base::instant announced_at = now - what.age;
    if (what.age >= record_lifetime)
        return false;
    const auto found = this->records.find(what.upstream);
    const bool known = found != this->records.end();
    if (!known && what.per_second <= 0)
        return false;
    if (known && announced_at < found->second.announced_at)
        return false;
    record_of_upstream& record = this->records[what.upstream];
    const double previous = record.per_second;
    record.per_second = what.per_second;
    record.announced_at = announced_at;
    record.source = source;
    // Requests sent before the limit was known are still on their way.
    const double rate = this->own_rate(what.upstream, what.per_second);
    if (previous <= 0 && rate > 0)
        record.next_send_at = now + duration_of(1 / rate);
    return previous != what.per_second;
}

void announced_limits::remove_expired(base::instant now)
{
    std::erase_if(this->records, [&](const auto& one) {
        return now - one.second.announced_at >= record_lifetime;
    });
}

const announced_limits::record_of_upstream*
announced_limits::find_limited(base::upstream_id upstream,
                               base::instant now) const
{
    const auto found = this->records.find(upstream);
    const bool limited = found != this->records.end() &&
                         found->second.per_second > 0 &&
                         now - found->second.announced_at < record_lifetime;
    return limited ? &found->second : nullptr;
}

double announced_limits::limit_of(base::upstream_id upstream,
                                  base::instant now) const
{
    const record_of_upstream* found = this->find_limited(upstream, now);
    return found == nullptr ? 0 : found->per_second;
}

double announced_limits::sharers_of(double per_second) const
{
    return std::clamp(std::floor(per_second * sharers_per_request),
                      1.0,
                      static_cast<double>(this->share.entries));
}

// Requests that were counted up to one lifetime before a window may be sent
// within it.
base::duration announced_limits::permit_lifetime(double per_second) const
{
    const double sharers = this->sharers_of(per_second);
    const double room = window_seconds * per_second * (window_overshoot - 1) +
                        window_slack - sharers * burst_of(per_second / sharers);
    return std::min(
        duration_of(std::max(0.0, permit_share * room / per_second)),
        limit_permits::max_lifetime);
}

limit_permit announced_limits::give(base::upstream_id upstream,
                                    std::uint32_t requests_most,
                                    base::instant now)
{
    limit_permit out{upstream};
    out.requests = std::min(requests_most, this->allowance(upstream, now));
    for (std::uint32_t given = 0; given < out.requests; ++given)
        this->on_sent(upstream, now);
    if (out.requests > 0)
        out.lifetime = this->permit_lifetime(this->limit_of(upstream, now));
    return out;
}

// The parts of all ranks add up to the need. They change with each message, so
// that entries with nothing left to give are not asked over and over.
std::uint32_t announced_limits::requested_part(std::uint32_t need,
                                               std::uint64_t need_number) const
{
    if (this->share.entries == 0)
        return 0;
    const auto turn = static_cast<std::uint32_t>(
        (this->share.rank + placement::mix(need_number)) % this->share.entries);
    return need / this->share.entries +
           (turn < need % this->share.entries ? 1 : 0);
}

double announced_limits::own_rate(base::upstream_id upstream,
                                  double per_second) const
{
    if (this->share.entries == 0 || per_second <= 0)
        return 0;
    const double sharers = this->sharers_of(per_second);
    // Differs between upstreams, so that the same entries do not get a part of
    // every limit.
    const std::uint64_t place =
        (this->share.rank + placement::mix(upstream.value)) %
        this->share.entries;
    return static_cast<double>(place) < sharers ? per_second / sharers : 0;
}

std::uint32_t announced_limits::allowance(base::upstream_id upstream,
                                          base::instant now) const
{
    const record_of_upstream* found = this->find_limited(upstream, now);
    if (found == nullptr)
        return 0;
    const double rate = this->own_rate(upstream, found->per_second);
    if (rate <= 0 || now < found->next_send_at)
        return 0;
    const double open = 1 + seconds_of(now - found->next_send_at) * rate;
    return static_cast<std::uint32_t>(std::min(open, burst_of(rate)));
}

void announced_limits::on_sent(base::upstream_id upstream, base::instant now)
{
    const auto found = this->records.find(upstream);
    if (found == this->records.end())
        return;
    record_of_upstream& record = found->second;
    const double rate = this->own_rate(upstream, record.per_second);
    if (rate <= 0)
        return;
    const base::instant earliest =
        now - duration_of((burst_of(rate) - 1) / rate);
    record.next_send_at =
        std::max(record.next_send_at, earliest) + duration_of(1 / rate);
}

std::vector<announced_limit> announced_limits::recent(base::instant now) const
{
    std::vector<announced_limit> out;
    for (const auto& [upstream, record] : this->records) {
        const base::duration age = now - record.announced_at;
        if (record.source == limit_source::own_group && age < report_lifetime)
            out.push_back({upstream, record.per_second, age});
    }
    return out;
}

std::size_t announced_limits::count(base::instant now) const
{
    return static_cast<std::size_t>(std::count_if(
        this->records.begin(), this->records.end(), [&](const auto& one) {
            return one.second.per_second > 0 &&
                   now - one.second.announced_at < record_lifetime;
        }));
}

} // namespace greengagedrum::traffic
