// Which upstream a request goes to.
#include <greengagedrum/placement/mix.hpp>
#include <greengagedrum/placement/seconds.hpp>
#include <greengagedrum/traffic/upstream_pool.hpp>

#include <algorithm>

namespace greengagedrum::traffic
{

using placement::seconds_of;

namespace
{

// A data centre with upstreams that can't be reached may be cut off as a whole:
// with one of three lost, the others count as twice as slow.
constexpr double lost_weight = 3;

// Upstreams that are this much alike are told apart by place: the own data
// centre's first, and then in an order of the entry's own, or all entries
// would choose the same one at once.
constexpr double far_share = 0.06;
constexpr double order_share = 0.04;

// Expected pauses scatter about those that come by a quarter, on the low side
// while an engine reads nothing.
constexpr double gap_margin = 1.25;

// Among many entries messages are old when they come, and all that know the
// same of an upstream meet there. Above this many, upstreams whose ends are
// alike within the most below are chosen among by lot.
constexpr double few_entries = 10;
constexpr double alike_most = 0.6;

// Entries that may send to an upstream of another data centre: about as many
// as it has places.
constexpr std::uint64_t far_users = 8;

// With fewer sound upstreams than this in the own data centre, any will do: a
// small service, or one of which the own data centre has lost its part.
constexpr std::size_t nearby_enough = 8;

// Against one of the own data centre, of which more is known.
constexpr double far_weight = 0.02;

// How good a place is for one request.
struct rating {
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

bool goes_before(const rating& one, const rating& other)
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
    return 1 + (this->is_near(one) ? 0 : far_share) + order_share * order;
}

bool upstream_pool::is_near(const upstream& one) const
{
    return one.data_centre == base::data_centre_id(this->own_place.data_centre);
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

bool upstream_pool::all_suspected(const service_state& all) const
{
    return std::all_of(
        all.members.begin(), all.members.end(), [&](base::upstream_id id) {
            return this->upstreams.at(id).trust.suspected();
        });
}

// Failure guarded against: one engine in three reads three times as slowly.
// Whatever runs there pauses beyond its objective as soon as a long prompt
// joins: of 93 late dossiers of a heavy day 71 were late by a pause, nearly all
// on such engines.
suitability upstream_pool::suits(const upstream& one,
                                 const service_state& all,
                                 const dispatch_query& asked,
                                 base::instant now) const
{
    const bool alone = one.own + one.others == 0;
    if (!alone && asked.event_gap_objective.count() > 0 &&
        gap_margin * this->gap_expected(one, all, asked.prompt_tokens, now) >
            seconds_of(asked.event_gap_objective))
        return suitability::disturbs;
    const double first = this->expected_on(one, all, asked.prompt_tokens, now);
    return first > seconds_of(asked.first_event_within) ? suitability::late
                                                        : suitability::in_time;
}

// An upstream with a free place, as it looks to one request.
struct upstream_pool::candidate {
    base::upstream_id id;
    const upstream* one = nullptr;
    std::uint32_t open = 0;
    double expected = 0;
    rating rated;
};

struct upstream_pool::offers {
    std::vector<candidate> open;
    suitability best_full = suitability::disturbs;
};

// Failure guarded against: 80 entries before 90 engines at the usual load, a
// third of all places free. All chose the engine that looked best, of which
// each knew of one to four requests, and met there in a queue: a third of all
// requests came late.
void upstream_pool::set_entry_count(std::size_t count)
{
    this->entries = std::max<std::size_t>(1, count);
    this->alike =
        alike_most *
        std::max(0.0, 1 - few_entries / static_cast<double>(this->entries));
}

// Of other data centres' upstreams an entry among many uses some, drawn for
// good, while its own has enough that are sound: messages from there are old,
// and all that found their own places taken met where one seemed free. A
// request that has failed elsewhere may go to any.
bool upstream_pool::may_use(base::upstream_id id,
                            const upstream& one,
                            const dispatch_query& asked) const
{
    if (this->is_near(one) || this->entries <= far_users ||
        !asked.tried.empty() || asked.allowed_data_centres.restricted)
        return true;
    const std::uint64_t lot =
        placement::mix(placement::mix(this->own_place.salt, id.value), 1);
    return lot % this->entries < far_users;
}

std::size_t upstream_pool::sound_nearby(const service_state& all) const
{
    return static_cast<std::size_t>(std::count_if(
        all.members.begin(), all.members.end(), [&](base::upstream_id id) {
            const upstream& one = this->upstreams.at(id);
            return this->is_near(one) && !one.trust.suspected();
        }));
}

upstream_pool::offers upstream_pool::open_offers(const service_state& all,
                                                 const dispatch_query& asked,
                                                 base::instant now) const
{
    offers out;
    // When every upstream fails some requests, suspicion tells nothing apart.
    const bool any_will_do = this->all_suspected(all);
    const bool enough_nearby = this->sound_nearby(all) >= nearby_enough;
    const lost_shares lost = this->lost_by_place(all);
    for (const base::upstream_id id : all.members) {
        const upstream& one = this->upstreams.at(id);
        const bool tried =
            std::find(asked.tried.begin(), asked.tried.end(), id) !=
            asked.tried.end();
        if (tried || !asked.allowed_data_centres.allows(one.data_centre) ||
            (enough_nearby && !this->may_use(id, one, asked)))
            continue;
        const bool probe = now >= all.probe_at && one.trust.may_probe(now);
        if (one.trust.suspected() && !probe &&
            (!any_will_do || one.trust.unreachable()))
            continue;
        const suitability suits = this->suits(one, all, asked, now);
        const std::uint32_t open = this->open_places(one, now);
        if (open == 0) {
            if (!probe)
                out.best_full = std::max(out.best_full, suits);
            continue;
        }
        const double expected =
            this->expected_on(one, all, asked.prompt_tokens, now);
        const double finish =
            this->distance(id, one) *
            (1 + lost_weight * lost.at(one.data_centre)) *
            (expected +
             this->output_seconds(one, all, asked.output_tokens, now));
        out.open.push_back({id, &one, open, expected, {probe, suits, finish}});
    }
    return out;
}

// The best one, or among many entries one that is about as good, by lot:
// weighted by its open places, near ones far before others.
const upstream_pool::candidate* upstream_pool::pick(const offers& from,
                                                    std::uint64_t draw) const
{
    const auto best =
        std::min_element(from.open.begin(),
                         from.open.end(),
                         [](const auto& one, const auto& other) {
                             return goes_before(one.rated, other.rated);
                         });
    if (best == from.open.end())
        return nullptr;
    if (this->alike <= 0 || best->rated.probe)
        return &*best;
    const auto weight = [&](const candidate& one) {
        if (one.rated.suits != best->rated.suits || one.rated.probe ||
            one.rated.finish > best->rated.finish * (1 + this->alike))
            return 0.0;
        return one.open * (this->is_near(*one.one) ? 1 : far_weight);
    };
    double sum = 0;
    for (const candidate& one : from.open)
        sum += weight(one);
    constexpr double range = 1U << 20U;
    const std::uint64_t lot = placement::mix(this->own_place.salt, draw);
    double left = sum *
                  static_cast<double>(lot % static_cast<std::uint64_t>(range)) /
                  range;
    for (const candidate& one : from.open) {
        left -= weight(one);
        if (left < 0)
            return &one;
    }
    return &*best;
}

// Among those that suit best, the least time to the last event. A probe that is
// due goes first, or a busy fleet never makes it.
std::optional<dispatch_choice>
upstream_pool::choose(const dispatch_query& asked, base::instant now) const
{
    const auto found = this->services.find(asked.service);
    if (found == this->services.end())
        return std::nullopt;
    const service_state& all = found->second;
    const offers offered = this->open_offers(all, asked, now);
    const candidate* chosen = this->pick(offered, asked.draw);
    if (chosen == nullptr)
        return std::nullopt;
    const upstream& one = *chosen->one;
    dispatch_choice out;
    out.upstream = chosen->id;
    out.expected = chosen->expected;
    out.finish = chosen->rated.finish;
    out.probe = chosen->rated.probe;
    out.suits = chosen->rated.suits;
    out.best_full = offered.best_full;
    out.choice = {{},
                  one.own,
                  one.others,
                  one.slots,
                  this->oldest_load_report(now),
                  placement::duration_of(chosen->expected),
                  placement::duration_of(
                      this->gap_expected(one, all, asked.prompt_tokens, now)),
                  to_string(chosen->rated.suits)};
    return out;
}

} // namespace greengagedrum::traffic
