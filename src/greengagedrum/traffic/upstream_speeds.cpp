// Estimates of the speed of upstreams, and of the time that a request takes.
#include <greengagedrum/placement/seconds.hpp>
#include <greengagedrum/traffic/upstream_pool.hpp>

#include <algorithm>

namespace greengagedrum::traffic
{

using placement::seconds_of;

namespace
{

// Time to the first event on the reference upstream: a fixed part and a part
// proportional to the prompt tokens ahead. Only the ratio of the two matters,
// since the pace of each upstream relative to them is learned. 50 ms and 50
// tokens a millisecond are typical of a current engine with a model of 70
// billion parameters.
constexpr double first_event_base = 0.050;  // seconds
constexpr double prompt_token_cost = 20e-6; // seconds

// Share of its speed that an upstream loses when all its slots are in use.
constexpr double full_load_slowdown = 0.25;

// Weight of the newest sample. One slow answer may have other reasons; four in
// a row show that an upstream is slow.
constexpr double pace_weight = 0.3;
constexpr double pace_least = 0.02;
constexpr double pace_most = 50;

// A pace without new samples decays to the service's mean, so that an upstream
// that was slow is tried again.
constexpr double pace_memory = 4; // seconds

// On a busy engine, about three quarters of the mean time between events are
// its own work. The rest is prefill, which is estimated separately.
constexpr double own_work_share = 0.75;

// Weight of one event in the service's mean; an entry receives hundreds a
// second. The first events weigh more, or one late event would dominate.
constexpr double event_weight = 0.002;

double reference_seconds(double prompt_tokens)
{
    return first_event_base + prompt_token_cost * prompt_tokens;
}

} // namespace

std::optional<double> upstream_pool::slowness(const upstream_state& one,
                                              const service_state& all,
                                              base::instant now)
{
    const double gap = seconds_of(one.speed.gap(now));
    if (gap <= 0 || all.event_gap <= 0)
        return std::nullopt;
    return std::clamp(gap / all.event_gap, pace_least, pace_most);
}

// Events give the best estimate: a stream has dozens a second, and peers report
// theirs. Learned from first events alone, engines four times as slow as others
// were estimated as 1.0 to 1.5 times as slow, since each entry sends a request
// to one of them only every few seconds.
double upstream_pool::pace_of(const upstream_state& one,
                              const service_state& all,
                              base::instant now) const
{
    if (const auto slow = slowness(one, all, now))
        return all.pace * *slow;
    if (one.pace <= 0)
        return all.pace;
    const double idle = seconds_of(now - one.paced_at);
    const double kept = std::max(0.0, 1 - idle / pace_memory);
    return one.pace * kept + all.pace * (1 - kept);
}

double upstream_pool::expected_on(const upstream_state& one,
                                  const service_state& all,
                                  std::uint32_t prompt_tokens,
                                  base::instant now) const
{
    const double unread = static_cast<double>(one.own_pending_prefill) +
                          one.peer_pending_prefill + prompt_tokens;
    const double taken = one.own_requests + one.peer_requests;
    const double load_factor = 1 + full_load_slowdown * taken / one.slots;
    return this->pace_of(one, all, now) * reference_seconds(unread) *
           load_factor;
}

// Seconds from the first event to the last.
double upstream_pool::output_seconds(const upstream_state& one,
                                     const service_state& all,
                                     std::uint32_t output_tokens,
                                     base::instant now) const
{
    return all.token_time * output_tokens * slowness(one, all, now).value_or(1);
}

// Seconds between two events of a stream there while the prompt is processed.
double upstream_pool::gap_expected(const upstream_state& one,
                                   const service_state& all,
                                   std::uint32_t prompt_tokens,
                                   base::instant now) const
{
    const double unread = static_cast<double>(one.own_pending_prefill) +
                          one.peer_pending_prefill + prompt_tokens;
    const double read = std::min(unread, all.gaps.high_estimate());
    return own_work_share * seconds_of(one.speed.gap(now)) +
           this->pace_of(one, all, now) * prompt_token_cost * read;
}

void upstream_pool::progressed(base::upstream_id id,
                               std::uint32_t events,
                               base::duration gap,
                               base::instant now)
{
    upstream_state* own = this->find(id);
    if (own == nullptr)
        return;
    own->progress_at = now;
    if (gap.count() <= 0 || events == 0)
        return;
    own->speed.add_sample(gap / events, now);
    service_state& all = this->services[own->service];
    const double seen = seconds_of(gap) / events;
    all.events += events;
    const double weight = std::max(event_weight, events / all.events);
    all.event_gap += weight * (seen - all.event_gap);
    const double token = this->pace_of(*own, all, now) * prompt_token_cost;
    const double usual = own_work_share * seconds_of(own->speed.gap(now));
    all.gaps.add_pause((seconds_of(gap) - usual) / token);
}

void upstream_pool::first_event(base::upstream_id id,
                                std::uint32_t prompt_tokens,
                                base::duration took,
                                double expected,
                                base::instant now)
{
    upstream_state* own = this->find(id);
    if (own == nullptr)
        return;
    own->own_pending_prefill -=
        std::min(own->own_pending_prefill, prompt_tokens);
    if (expected <= 0)
        return;
    service_state& all = this->services[own->service];
    const double before = this->pace_of(*own, all, now);
    const double ratio = seconds_of(took) / expected;
    const double seen = std::clamp(before * ratio, pace_least, pace_most);
    own->pace = before + pace_weight * (seen - before);
    own->paced_at = now;
    // A slow upstream contributes to the mean as an average one would.
    const double usual = own->pace / slowness(*own, all, now).value_or(1);
    all.pace += service_weight * (usual - all.pace);
}

void upstream_pool::record_output(base::upstream_id id,
                                  std::uint32_t output_tokens,
                                  base::duration took,
                                  base::instant now)
{
    upstream_state* own = this->find(id);
    if (own == nullptr || output_tokens == 0)
        return;
    service_state& all = this->services[own->service];
    const double seen =
        seconds_of(took) / output_tokens / slowness(*own, all, now).value_or(1);
    all.token_time =
        all.token_time <= 0
            ? seen
            : all.token_time + service_weight * (seen - all.token_time);
}

double upstream_pool::average_first_event(base::upstream_class_id service,
                                          std::uint32_t prompt_tokens) const
{
    const auto found = this->services.find(service);
    const double pace = found == this->services.end() ? 1 : found->second.pace;
    return pace * reference_seconds(prompt_tokens);
}

} // namespace greengagedrum::traffic
