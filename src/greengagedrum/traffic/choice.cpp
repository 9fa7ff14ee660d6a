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

double usual_seconds(double prompt_tokens)
{
    return first_event_base + prompt_token_cost * prompt_tokens;
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

double upstream_pool::pace_of(const upstream& one,
                              const service_state& all,
                              base::instant now) const
{
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
                                     std::uint32_t output_tokens) const
{
    const double usual = all.token_time * output_tokens;
    if (one.event_gap <= 0 || all.event_gap <= 0)
        return usual;
    return usual * one.event_gap / all.event_gap;
}

// Least time to the last event, so that short requests take the slow upstreams
// and long ones wait for none that can't finish them in time. A probe that is
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
    for (const base::upstream_id id : all.members) {
        const upstream& one = this->upstreams.at(id);
        const bool tried =
            std::find(asked.tried.begin(), asked.tried.end(), id) !=
            asked.tried.end();
        if (tried || open_places(one, now) == 0)
            continue;
        const bool probe = now >= all.probe_at && one.trust.may_probe(now);
        if (one.trust.suspected() && !probe &&
            (!any_will_do || one.trust.unreachable()))
            continue;
        const double expected =
            this->expected_on(one, all, asked.prompt_tokens, now);
        const double finish =
            this->distance(id, one) *
            (1 + lost_weight * lost.at(one.data_centre)) *
            (expected + this->output_seconds(one, all, asked.output_tokens));
        const bool better = !best || (probe && !best->probe) ||
                            (probe == best->probe && finish < best->finish);
        if (!better)
            continue;
        best = placing{id, {}, expected, finish, probe};
        best->why.own = one.own;
        best->why.others = one.others;
        best->why.places = one.slots;
    }
    if (best) {
        best->why.told_age = this->oldest_word(now);
        best->why.first_event = placement::duration_of(best->expected);
    }
    return best;
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
    all.pace += service_weight * (own->pace - all.pace);
}

void upstream_pool::learn_output(base::upstream_id id,
                                 std::uint32_t output_tokens,
                                 std::uint32_t events,
                                 base::duration took)
{
    upstream* own = this->find(id);
    if (own == nullptr || events < 2 || output_tokens == 0)
        return;
    service_state& all = this->services[own->service];
    const double gap = seconds_of(took) / (events - 1);
    const auto learn = [](double& known, double seen, double weight) {
        known = known <= 0 ? seen : known + weight * (seen - known);
    };
    learn(own->event_gap, gap, pace_weight);
    learn(all.event_gap, gap, service_weight);
    learn(all.token_time, seconds_of(took) / output_tokens, service_weight);
}

double upstream_pool::usual_first_event(base::class_id service,
                                        std::uint32_t prompt_tokens) const
{
    const auto found = this->services.find(service);
    const double pace = found == this->services.end() ? 1 : found->second.pace;
    return pace * usual_seconds(prompt_tokens);
}

} // namespace greengagedrum::traffic
