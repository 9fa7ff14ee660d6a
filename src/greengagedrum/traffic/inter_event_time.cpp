#include <greengagedrum/traffic/inter_event_time.hpp>

namespace greengagedrum::traffic
{

namespace
{

// Weight of the newest sample. An upstream that turns slow is noticed within
// ten events, a fraction of a second, while one event delayed by a long prompt
// moves the mean by a tenth.
constexpr double newest = 0.1;

// Streams have many events a second, so an entry without an event for this long
// has no stream there.
constexpr base::duration own_holds = std::chrono::seconds(1);

// Lifetime of the last mean. Afterwards the upstream may have changed, so a
// slow one is treated as average again, gets requests and yields new samples.
constexpr base::duration last_holds = std::chrono::seconds(10);

} // namespace

void inter_event_time::add_sample(base::duration gap, base::instant now)
{
    const auto value = static_cast<double>(gap.count());
    const bool known = this->own > 0 && now - this->own_at < last_holds;
    this->own = known ? this->own + newest * (value - this->own) : value;
    this->own_at = now;
    this->last = this->mean(now);
    this->last_at = now;
}

void inter_event_time::add_peer_mean(base::duration gap, base::instant now)
{
    if (gap.count() <= 0)
        return;
    this->peer_sum += gap;
    this->peer_count += 1;
    this->last = this->mean(now);
    this->last_at = now;
}

void inter_event_time::remove_peer_mean(base::duration gap)
{
    if (gap.count() <= 0 || this->peer_count == 0)
        return;
    this->peer_sum -= gap;
    this->peer_count -= 1;
}

base::duration inter_event_time::own_gap(base::instant now) const
{
    if (this->own <= 0 || now - this->own_at > own_holds)
        return base::duration{0};
    return base::duration(static_cast<std::int64_t>(this->own));
}

base::duration inter_event_time::mean(base::instant now) const
{
    const base::duration own_part = this->own_gap(now);
    const std::int64_t count =
        this->peer_count + (own_part.count() > 0 ? 1 : 0);
    if (count == 0)
        return base::duration{0};
    return (this->peer_sum + own_part) / count;
}

base::duration inter_event_time::gap(base::instant now) const
{
    const base::duration current = this->mean(now);
    if (current.count() > 0)
        return current;
    return now - this->last_at < last_holds ? this->last : base::duration{0};
}

} // namespace greengagedrum::traffic
