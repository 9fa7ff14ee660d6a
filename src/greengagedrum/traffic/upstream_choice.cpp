// Choice of the upstream for a request.
#include <greengagedrum/placement/mix.hpp>
#include <greengagedrum/placement/seconds.hpp>
#include <greengagedrum/traffic/upstream_pool.hpp>

#include <algorithm>

namespace greengagedrum::traffic
{

using placement::seconds_of;

namespace
{

// A data centre with unreachable upstreams may be cut off as a whole. With one
// of three upstreams unreachable, the expected time at the others is doubled.
constexpr double unreachable_weight = 3;

// Upstreams whose expected times differ by less than these shares are ordered
// by distance: those of the own data centre come first, then an order that
// differs between entries. Otherwise all entries would choose the same upstream
// at once.
constexpr double far_share = 0.06;
constexpr double order_share = 0.04;

// An upstream to which the sender keeps a connection counts as this share
// faster. Estimates deviate by more than that, and an upstream where the
// request would be late or disturb streams never goes first. In a simulated
// data centre, 0.05 reused a connection for 0.25 of the requests, 0.15 for
// 0.40. In another data centre, the share must not outweigh the distance.
constexpr double kept_share = 0.15;
constexpr double far_kept_share = 0.05;

// Its weight in the random choice, against 1 for one without. Other entries
// keep connections to other upstreams, so they don't all choose the same one.
constexpr double kept_weight = 8;

// Actual gaps between events deviate from the expected ones by about a quarter.
// Estimates are too low while an engine has processed no prompt.
constexpr double gap_margin = 1.25;

// With many entries, load reports are old when they arrive, and all entries
// with the same view choose the same upstream. Above this number of entries,
// the choice is random among the upstreams whose expected finish times differ
// by less than a share, which grows up to the maximum below.
constexpr double many_entries_above = 10;
constexpr double finish_tolerance_max = 0.6;

// Number of entries that may send to one upstream of another data centre: about
// as many as it has slots.
constexpr std::uint64_t far_users = 8;

// With fewer healthy upstreams than this in the own data centre, any upstream
// may be used: the service is small, or the own data centre has lost its
// upstreams.
constexpr std::size_t nearby_enough = 8;

// Weight in the random choice, against 1 for an upstream of the own data
// centre, whose load is known better.
constexpr double far_weight = 0.02;

// How well an upstream with a free slot suits one request.
struct rating {
    bool probe = false;
    suitability suits = suitability::disturbs;
    bool crosses = false; // to another region
    double finish = 0;    // seconds
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

// A request crosses to another region only if that makes it better suited. A
// probe crosses only with a request that crosses anyway.
bool goes_before(const rating& one, const rating& other)
{
    const bool probe_in_region = one.probe && !one.crosses;
    if (probe_in_region != (other.probe && !other.crosses))
        return probe_in_region;
    if (one.suits != other.suits)
        return one.suits > other.suits;
    if (one.crosses != other.crosses)
        return other.crosses;
    if (one.probe != other.probe)
        return one.probe;
    return one.finish < other.finish;
}

} // namespace

double upstream_pool::distance(base::upstream_id id, const upstream& one) const
{
    constexpr double range = 1024;
    const double order =
        static_cast<double>(placement::mix(this->identity.salt, id.value) %
                            static_cast<std::uint64_t>(range)) /
        range;
    return 1 + (this->is_near(one) ? 0 : far_share) + order_share * order;
}

bool upstream_pool::is_near(const upstream& one) const
{
    return one.data_centre == base::data_centre_id(this->identity.data_centre);
}

upstream_pool::unreachable_shares
upstream_pool::unreachable_by_data_centre(const service_state& all) const
{
    std::map<base::data_centre_id, std::pair<double, double>> counts;
    for (const base::upstream_id id : all.members) {
        const upstream& one = this->upstreams.at(id);
        auto& [unreachable, members] = counts[one.data_centre];
        unreachable += one.outliers.unreachable() ? 1 : 0;
        members += 1;
    }
    unreachable_shares out;
    for (const auto& [place, count] : counts)
        out[place] = count.first / count.second;
    return out;
}

// For a request bound to a version, only those count that it may be sent to.
bool upstream_pool::all_suspected(const service_state& all,
                                  const dispatch_query& query) const
{
    return std::all_of(
        all.members.begin(), all.members.end(), [&](base::upstream_id id) {
            const upstream& one = this->upstreams.at(id);
            return one.outliers.suspected() ||
                   (!query.version.empty() && !fits(id, one, query));
        });
}

// Failure guarded against: one engine in three processes prompts three times as
// slowly. Streams on such an engine pause beyond their objective as soon as a
// long prompt joins. In a run of a heavy day, 71 of 93 late requests of the
// most urgent kind were late because of such a pause, nearly all on slow
// engines.
suitability upstream_pool::suits(const upstream& one,
                                 const service_state& all,
                                 const dispatch_query& query,
                                 base::duration crossing,
                                 base::instant now) const
{
    const bool alone = one.own_requests + one.peer_requests == 0;
    if (!alone && query.event_gap_objective.count() > 0 &&
        gap_margin * this->gap_expected(one, all, query.prompt_tokens, now) >
            seconds_of(query.event_gap_objective))
        return suitability::disturbs;
    const double first = seconds_of(crossing) +
                         this->expected_on(one, all, query.prompt_tokens, now);
    return first > seconds_of(query.first_event_within) ? suitability::late
                                                        : suitability::in_time;
}

// An upstream with a free slot and its estimates for one request.
struct upstream_pool::candidate {
    base::upstream_id id;
    const upstream* one = nullptr;
    std::uint32_t open = 0;
    double expected = 0;
    base::duration crossing;
    rating score;
    bool kept = false; // the sender has a connection to it
};

struct upstream_pool::offers {
    std::vector<candidate> open;
    suitability best_full = suitability::disturbs;
    std::optional<suitability> best_full_in_region;

    void add_full(suitability suits, bool crosses)
    {
        this->best_full = std::max(this->best_full, suits);
        if (!crosses)
            this->best_full_in_region =
                std::max(suits, this->best_full_in_region.value_or(suits));
    }
};

base::duration upstream_pool::crossing_delay(const upstream& one,
                                             std::uint32_t prompt_tokens) const
{
    return one.away == routing::distance::other_region
               ? this->crossings.delay(one.region, prompt_tokens)
               : base::duration(0);
}

// Failure guarded against: 80 entries with 90 engines at the usual load, with a
// third of all slots free. All entries chose the engine that looked best, of
// which each knew of one to four requests, and their requests queued there: a
// third of all requests came late.
void upstream_pool::set_entry_count(std::size_t count)
{
    this->entries = std::max<std::size_t>(1, count);
    this->finish_tolerance =
        finish_tolerance_max *
        std::max(0.0,
                 1 - many_entries_above / static_cast<double>(this->entries));
}

// With many entries that have queues, each uses a random subset of the
// upstreams of other data centres, as long as its own data centre has enough
// healthy ones. Load reports from other data centres are old, and entries whose
// own slots were taken all chose the same upstream that seemed free. An entry
// whose peers have no queues competes with none of them, and a subset would
// leave slots unused while its own queue grows. A request that has failed
// elsewhere may go to any upstream, and so may one that needs a version, which
// may be rare nearby. Entries do not compete for what a permit allows.
bool upstream_pool::may_use(base::upstream_id id,
                            const upstream& one,
                            const dispatch_query& query) const
{
    const std::uint64_t competing =
        std::min<std::uint64_t>(this->entries, this->waiting_peers + 1);
    if (this->is_near(one) || competing <= far_users || !query.tried.empty() ||
        query.allowed_data_centres.restricted || !query.version.empty())
        return true;
    const std::uint64_t lot =
        placement::mix(placement::mix(this->identity.salt, id.value), 1);
    // The subset only shrinks as more entries compete.
    constexpr std::uint64_t range = 1U << 20U;
    return lot % range * competing < far_users * range;
}

std::size_t upstream_pool::healthy_nearby(const service_state& all) const
{
    return static_cast<std::size_t>(std::count_if(
        all.members.begin(), all.members.end(), [&](base::upstream_id id) {
            const upstream& one = this->upstreams.at(id);
            return this->is_near(one) && !one.outliers.suspected();
        }));
}

upstream_pool::offers upstream_pool::open_offers(const service_state& all,
                                                 const dispatch_query& query,
                                                 base::instant now) const
{
    offers out;
    // When all upstreams are suspected, suspicion does not tell them apart.
    const bool any_will_do = this->all_suspected(all, query);
    const bool enough_nearby = this->healthy_nearby(all) >= nearby_enough;
    const unreachable_shares unreachable =
        this->unreachable_by_data_centre(all);
    const bool reaches_all = this->reach.is_unrestricted(query.sender, now);
    for (const base::upstream_id id : all.members) {
        const upstream& one = this->upstreams.at(id);
        if (!fits(id, one, query) ||
            (enough_nearby && this->permits.available(id, now) == 0 &&
             !this->may_use(id, one, query)) ||
            (!reaches_all && this->reach.avoids(query.sender, id, now)))
            continue;
        const bool probe = now >= all.probe_at && one.outliers.may_probe(now);
        // A suspected upstream is no better than the silent one that a move
        // would leave.
        if (one.outliers.suspected() &&
            (query.moves ||
             (!probe && (!any_will_do || one.outliers.unreachable()))))
            continue;
        const base::duration crossing =
            this->crossing_delay(one, query.prompt_tokens);
        const bool crosses = crossing.count() > 0;
        const suitability suits = this->suits(one, all, query, crossing, now);
        const std::uint32_t open = this->free_slots(id, one, now);
        if (open == 0) {
            if (!probe)
                out.add_full(suits, crosses);
            continue;
        }
        const double expected =
            seconds_of(crossing) +
            this->expected_on(one, all, query.prompt_tokens, now);
        const bool kept = std::find(query.kept.begin(), query.kept.end(), id) !=
                          query.kept.end();
        const double bonus = this->is_near(one) ? kept_share : far_kept_share;
        const double finish =
            this->distance(id, one) * (kept ? 1 - bonus : 1) *
            (1 + unreachable_weight * unreachable.at(one.data_centre)) *
            (expected +
             this->output_seconds(one, all, query.output_tokens, now));
        out.open.push_back({id,
                            &one,
                            open,
                            expected,
                            crossing,
                            {probe, suits, crosses, finish},
                            kept});
    }
    return out;
}

// The best candidate or, with many entries, a random one of those that are
// about as good, weighted by their free slots and with a strong preference for
// the own data centre.
const upstream_pool::candidate* upstream_pool::pick(const offers& from,
                                                    std::uint64_t draw) const
{
    const auto best =
        std::min_element(from.open.begin(),
                         from.open.end(),
                         [](const auto& one, const auto& other) {
                             return goes_before(one.score, other.score);
                         });
    if (best == from.open.end())
        return nullptr;
    if (this->finish_tolerance <= 0 || best->score.probe)
        return &*best;
    const auto weight = [&](const candidate& one) {
        if (one.score.suits != best->score.suits ||
            one.score.crosses != best->score.crosses || one.score.probe ||
            one.score.finish >
                best->score.finish * (1 + this->finish_tolerance))
            return 0.0;
        return one.open * (this->is_near(*one.one) ? 1 : far_weight) *
               (one.kept ? kept_weight : 1);
    };
    double sum = 0;
    for (const candidate& one : from.open)
        sum += weight(one);
    constexpr double range = 1U << 20U;
    const std::uint64_t lot = placement::mix(this->identity.salt, draw);
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

// Chooses the best suitability first, then the earliest expected finish. A
// probe that is due goes first, since a busy fleet would otherwise never send
// it.
std::optional<dispatch_choice>
upstream_pool::choose(const dispatch_query& query, base::instant now) const
{
    const auto found = this->services.find(query.service);
    if (found == this->services.end())
        return std::nullopt;
    const service_state& all = found->second;
    const offers offered = this->open_offers(all, query, now);
    const candidate* chosen = this->pick(offered, query.draw);
    if (chosen == nullptr)
        return std::nullopt;
    const upstream& one = *chosen->one;
    dispatch_choice out;
    out.upstream = chosen->id;
    out.expected = chosen->expected;
    out.finish = chosen->score.finish;
    out.probe = chosen->score.probe;
    out.suits = chosen->score.suits;
    out.best_full = offered.best_full;
    out.best_full_in_region = offered.best_full_in_region;
    out.crossing = chosen->crossing;
    out.choice = {{},
                  one.own_requests,
                  one.peer_requests,
                  one.slots,
                  this->oldest_load_report(now),
                  placement::duration_of(chosen->expected),
                  placement::duration_of(
                      this->gap_expected(one, all, query.prompt_tokens, now)),
                  to_string(chosen->score.suits)};
    return out;
}

} // namespace greengagedrum::traffic
