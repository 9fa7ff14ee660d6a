// Which upstream a request goes to, and how fast each is thought to be.
#include <greengagedrum/placement/mix.hpp>
#include <greengagedrum/placement/seconds.hpp>
#include <greengagedrum/traffic/upstream_pool.hpp>

#include <algorithm>

namespace greengagedrum::traffic
{

using placement::seconds_of;

namespace
{

// A usual upstream's time to its first event: a fixed part and one that grows
// with the prompt tokens before it. Only their relation matters, since each
// upstream's pace against them is learnt; 50 ms and 50 tokens a millisecond
// are those of a current engine of 70 billion parameters.
constexpr double first_event_base = 0.050;  // seconds
constexpr double prompt_token_cost = 20e-6; // seconds

// Running beside others costs an upstream this part of its speed when full.
constexpr double crowding = 0.25;

// One slow answer may have other reasons; four in a row say it is slow.
constexpr double pace_weight = 0.3;
constexpr double pace_least = 0.02;
constexpr double pace_most = 50;

// A pace that nothing confirms gives way to the usual one, so that an
// upstream which was slow is tried again.
constexpr double pace_memory = 4; // seconds

// A data centre with upstreams that can't be reached may be cut off as a whole:
// with one of three lost, the others count as twice as slow.
constexpr double lost_weight = 3;

// Upstreams that are this much alike are told apart by place: the own data
// centre's first, and then in an order of the entry's own, or all entries
// would choose the same one at once.
constexpr double far_share = 0.06;
constexpr double order_share = 0.04;

// Of the mean time between events on a busy engine, about three quarters are
// its own work (46 of 55 to 60 ms on the slowest seen); the rest is the reading
// of prompts, which is counted by itself.
constexpr double usual_gap_part = 0.75;

// Expected pauses scatter about those that come by a quarter, on the low side
// while an engine reads nothing.
constexpr double gap_margin = 1.25;

// What one event teaches of the service's mean; an entry sees hundreds a
// second.
constexpr double event_weight = 0.002;

double usual_seconds(double prompt_tokens)
{
    return first_event_base + prompt_token_cost * prompt_tokens;
}

// What one place has to offer a request.
struct merit {
    bool probe = false;
    suitability suits = suitability::disturbs;
    double finish = 0; // seconds
};

std::string_view to_string(suitability what)
{
    switch (what) {
    case suitability::disturbs:
        return "disturbs";
    case suitability::late:
        return "late";
    case suitability::in_time:
        return "in_time";
    }
    return "unknown";
}

bool goes_before(const merit& one, const placing& other)
{
    if (one.probe != other.probe)
        return one.probe;
    if (one.suits != other.suits)
        return one.suits > other.suits;
    return one.finish < other.finish;
}

} // namespace

double upstream_pool::distance(base::upstream_id id, const upstream& one) const
{
    constexpr double range = 1024;
    const double order =
        static_cast<double>(placement::mix(this->own_place.salt, id.value) %
                            static_cast<std::uint64_t>(range)) /
        range;
    const bool near =
        one.data_centre == base::data_centre_id(this->own_place.data_centre);
    return 1 + (near ? 0 : far_share) + order_share * order;
}

upstream_pool::lost_shares
upstream_pool::lost_by_place(const service_state& all) const
{
    std::map<base::data_centre_id, std::pair<double, double>> counts;
    for (const base::upstream_id id : all.members) {
        const upstream& one = this->upstreams.at(id);
        auto& [lost, members] = counts[one.data_centre];
        lost += one.trust.unreachable() ? 1 : 0;
        members += 1;
    }
    lost_shares out;
    for (const auto& [place, count] : counts)
        out[place] = count.first / count.second;
    return out;
}

// ---- Choice ---------------------------------------------------------------

std::optional<double> upstream_pool::slowness(const upstream& one,
                                              const service_state& all,
                                              base::instant now)
{
    const double gap = seconds_of(one.speed.gap(now));
    if (gap <= 0 || all.event_gap <= 0)
        return std::nullopt;
    return std::clamp(gap / all.event_gap, pace_least, pace_most);
}

// Events tell it best: a stream brings dozens a second, and peers tell theirs.
// Learnt from first events alone, engines that are four times as slow as others
// were taken for 1.0 to 1.5 times as slow, since each entry sends to one of
// them every few seconds only.
double upstream_pool::pace_of(const upstream& one,
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

double upstream_pool::expected_on(const upstream& one,
                                  const service_state& all,
                                  std::uint32_t prompt_tokens,
                                  base::instant now) const
{
    const double unread =
        static_cast<double>(one.own_unread) + one.others_unread + prompt_tokens;
    const double taken = one.own + one.others;
    const double crowd = 1 + crowding * taken / one.slots;
    return this->pace_of(one, all, now) * usual_seconds(unread) * crowd;
}

bool upstream_pool::all_suspected(const service_state& all) const
{
    return std::all_of(
        all.members.begin(), all.members.end(), [&](base::upstream_id id) {
            return this->upstreams.at(id).trust.suspected();
        });
}

// From the first event to the last.
double upstream_pool::output_seconds(const upstream& one,
                                     const service_state& all,
                                     std::uint32_t output_tokens,
                                     base::instant now) const
{
    return all.token_time * output_tokens * slowness(one, all, now).value_or(1);
}

// Seconds that a stream there waits between two events while the prompt is
// read.
double upstream_pool::gap_expected(const upstream& one,
                                   const service_state& all,
                                   std::uint32_t prompt_tokens,
                                   base::instant now) const
{
    const double unread =
        static_cast<double>(one.own_unread) + one.others_unread + prompt_tokens;
    const double read = std::min(unread, all.gaps.most());
    return usual_gap_part * seconds_of(one.speed.gap(now)) +
           this->pace_of(one, all, now) * prompt_token_cost * read;
}

// Failure guarded against: one engine in three reads three times as slowly.
// Whatever runs there pauses beyond its objective as soon as a long prompt
// joins: of 93 late dossiers of a heavy day 71 were late by a pause, nearly all
// on such engines.
suitability upstream_pool::suits(const upstream& one,
                                 const service_state& all,
                                 const placing_question& asked,
                                 base::instant now) const
{
    const bool alone = one.own + one.others == 0;
    if (!alone && asked.gap_objective.count() > 0 &&
        gap_margin * this->gap_expected(one, all, asked.prompt_tokens, now) >
            seconds_of(asked.gap_objective))
        return suitability::disturbs;
    const double first = this->expected_on(one, all, asked.prompt_tokens, now);
    return first > seconds_of(asked.first_event_within) ? suitability::late
                                                        : suitability::in_time;
}

// Among those that suit best, the least time to the last event. A probe that is
// due goes first, or a busy fleet never makes it.
std::optional<placing> upstream_pool::choose(const placing_question& asked,
                                             base::instant now) const
{
    const auto found = this->services.find(asked.service);
    if (found == this->services.end())
        return std::nullopt;
    const service_state& all = found->second;
    // When every upstream fails some requests, suspicion tells nothing apart.
    const bool any_will_do = this->all_suspected(all);
    const lost_shares lost = this->lost_by_place(all);
    std::optional<placing> best;
    suitability best_full = suitability::disturbs;
    for (const base::upstream_id id : all.members) {
        const upstream& one = this->upstreams.at(id);
        const bool tried =
            std::find(asked.tried.begin(), asked.tried.end(), id) !=
            asked.tried.end();
        if (tried)
            continue;
        const bool probe = now >= all.probe_at && one.trust.may_probe(now);
        if (one.trust.suspected() && !probe &&
            (!any_will_do || one.trust.unreachable()))
            continue;
        const suitability suits = this->suits(one, all, asked, now);
        if (open_places(one, now) == 0) {
            if (!probe)
                best_full = std::max(best_full, suits);
            continue;
        }
        const double expected =
            this->expected_on(one, all, asked.prompt_tokens, now);
        const double finish =
            this->distance(id, one) *
            (1 + lost_weight * lost.at(one.data_centre)) *
            (expected +
             this->output_seconds(one, all, asked.output_tokens, now));
        if (best && !goes_before({probe, suits, finish}, *best))
            continue;
        best = placing{id, {}, expected, finish, probe, suits};
        best->why.gap = placement::duration_of(
            this->gap_expected(one, all, asked.prompt_tokens, now));
        best->why.suits = to_string(suits);
        best->why.own = one.own;
        best->why.others = one.others;
        best->why.places = one.slots;
    }
    if (best) {
        best->best_full = best_full;
        best->why.told_age = this->oldest_word(now);
        best->why.first_event = placement::duration_of(best->expected);
    }
    return best;
}

void upstream_pool::progressed(base::upstream_id id,
                               std::uint32_t events,
                               base::duration gap,
                               base::instant now)
{
    upstream* own = this->find(id);
    if (own == nullptr)
        return;
    own->progress_at = now;
    if (gap.count() <= 0 || events == 0)
        return;
    own->speed.seen(gap / events, now);
    service_state& all = this->services[own->service];
    const double seen = seconds_of(gap) / events;
    all.event_gap = all.event_gap <= 0
                        ? seen
                        : all.event_gap + event_weight * (seen - all.event_gap);
    const double token = this->pace_of(*own, all, now) * prompt_token_cost;
    const double usual = usual_gap_part * seconds_of(own->speed.gap(now));
    all.gaps.seen((seconds_of(gap) - usual) / token);
}

void upstream_pool::first_event(base::upstream_id id,
                                std::uint32_t prompt_tokens,
                                base::duration took,
                                double expected,
                                base::instant now)
{
    upstream* own = this->find(id);
    if (own == nullptr)
        return;
    own->own_unread -= std::min(own->own_unread, prompt_tokens);
    if (expected <= 0)
        return;
    service_state& all = this->services[own->service];
    const double before = this->pace_of(*own, all, now);
    const double ratio = seconds_of(took) / expected;
    const double seen = std::clamp(before * ratio, pace_least, pace_most);
    own->pace = before + pace_weight * (seen - before);
    own->paced_at = now;
    // A slow upstream says of the mean what it would if it were a usual one.
    const double usual = own->pace / slowness(*own, all, now).value_or(1);
    all.pace += service_weight * (usual - all.pace);
}

void upstream_pool::learn_output(base::upstream_id id,
                                 std::uint32_t output_tokens,
                                 base::duration took,
                                 base::instant now)
{
    upstream* own = this->find(id);
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

double upstream_pool::usual_first_event(base::class_id service,
                                        std::uint32_t prompt_tokens) const
{
    const auto found = this->services.find(service);
    const double pace = found == this->services.end() ? 1 : found->second.pace;
    return pace * usual_seconds(prompt_tokens);
}

} // namespace greengagedrum::traffic
