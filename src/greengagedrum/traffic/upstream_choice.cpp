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

// An upstream to which the sender keeps a connection saves it a connect, which
// decides only among those that are about equally fast.
constexpr double kept_share = order_share;

// Its weight in the random choice among those, against 1 for one without. Other
// entries keep connections to other upstreams, so they don't all choose the
// same one.
constexpr double kept_weight = 8;

// Actual gaps between events deviate from the expected ones by about a quarter.
// Estimates are too low while an engine has processed no prompt.
constexpr double gap_margin = 1.25;

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

// Upstreams without a free slot that are looked at for one request.
constexpr std::size_t sample_size = 16;

// How well an upstream with a free slot suits one request.
struct rating {
    bool probe = false;
    bool disturbs = false; // streams there would pause longer than promised
    bool crosses = false;  // to another region
    double finish = 0;     // seconds, the crossing included
};

bool goes_before(const rating& one, const rating& other)
{
    const bool probe_in_region = one.probe && !one.crosses;
    if (probe_in_region != (other.probe && !other.crosses))
        return probe_in_region;
    if (one.disturbs != other.disturbs)
        return other.disturbs;
    return one.finish < other.finish;
}

} // namespace

double upstream_pool::distance(base::upstream_id id,
                               const upstream_state& one) const
{
    constexpr double range = 1024;
    const double order =
        static_cast<double>(placement::mix(this->identity.salt, id.value) %
                            static_cast<std::uint64_t>(range)) /
        range;
    return 1 + (one.is_near ? 0 : far_share) + order_share * order;
}

// For a request bound to a version, only those count that it may be sent to.
bool upstream_pool::all_suspected(const dispatch_query& query,
                                  const dispatch_pass& pass)
{
    if (query.version.empty())
        return pass.all_suspected;
    return std::all_of(pass.service->members.begin(),
                       pass.service->members.end(),
                       [&](const service_member& member) {
                           return member.state->outliers.suspected() ||
                                  !fits(member.id, *member.state, query);
                       });
}

// Failure guarded against: one engine in three processes prompts three times as
// slowly. Streams on such an engine pause beyond the gap that their callers
// were promised as soon as a long prompt joins.
bool upstream_pool::disturbs_streams(const upstream_state& one,
                                     const service_state& all,
                                     const dispatch_query& query,
                                     base::instant now) const
{
    const bool alone = one.own_requests + one.peer_requests == 0;
    return !alone && query.event_gap_objective.count() > 0 &&
           gap_margin * this->gap_expected(one, all, query.prompt_tokens, now) >
               seconds_of(query.event_gap_objective);
}

// An upstream with a free slot and its estimates for one request.
struct upstream_pool::candidate {
    service_member member;
    std::uint32_t free_slots = 0;
    double expected = 0;
    base::duration crossing;
    rating score;
    bool kept = false; // the sender has a connection to it
};

// What the choice of an upstream for one request depends on.
struct upstream_pool::query_state {
    const dispatch_query& query;
    const dispatch_pass& pass;
    // When all upstreams are suspected, suspicion does not tell them apart.
    bool any_will_do = false;
    bool enough_nearby = false;
    bool reaches_all = false; // the sender
};

base::duration upstream_pool::crossing_delay(const upstream_state& one,
                                             std::uint32_t prompt_tokens) const
{
    return one.away == routing::distance::other_region
               ? this->crossings.delay(one.region, prompt_tokens)
               : base::duration(0);
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
                            const upstream_state& one,
                            const dispatch_query& query) const
{
    const std::uint64_t competing =
        std::min<std::uint64_t>(this->entries, this->waiting_peers + 1);
    if (one.is_near || competing <= far_users || !query.tried.empty() ||
        query.allowed_data_centres.restricted || !query.version.empty())
        return true;
    const std::uint64_t lot =
        placement::mix(placement::mix(this->identity.salt, id.value), 1);
    // The subset only shrinks as more entries compete.
    constexpr std::uint64_t range = 1U << 20U;
    return lot % range * competing < far_users * range;
}

upstream_pool::query_state
upstream_pool::state_of(const dispatch_query& query,
                        const dispatch_pass& pass) const
{
    return {query,
            pass,
            all_suspected(query, pass),
            pass.healthy_nearby >= nearby_enough,
            this->reach.is_unrestricted(query.sender, pass.now)};
}

bool upstream_pool::is_considered(const service_member& member,
                                  const query_state& state,
                                  bool probe) const
{
    const dispatch_query& query = state.query;
    const upstream_state& one = *member.state;
    const base::instant now = state.pass.now;
    if (!fits(member.id, one, query) ||
        (state.enough_nearby && this->permits.available(member.id, now) == 0 &&
         !this->may_use(member.id, one, query)) ||
        (!state.reaches_all &&
         this->reach.avoids(query.sender, member.id, now)))
        return false;
    // A suspected upstream is no better than the silent one that a move would
    // leave.
    return !one.outliers.suspected() ||
           (!query.moves &&
            (probe || (state.any_will_do && !one.outliers.unreachable())));
}

upstream_pool::candidate
upstream_pool::rate_open(const dispatch_pass::open_member& open,
                         const query_state& state,
                         bool probe) const
{
    const dispatch_query& query = state.query;
    const dispatch_pass& pass = state.pass;
    const service_state& all = *pass.service;
    const upstream_state& one = *open.member.state;
    const base::upstream_id id = open.member.id;
    const base::duration crossing =
        this->crossing_delay(one, query.prompt_tokens);
    const bool disturbs = this->disturbs_streams(one, all, query, pass.now);
    const double expected =
        seconds_of(crossing) +
        this->expected_on(one, all, query.prompt_tokens, pass.now);
    const bool kept =
        std::find(query.kept.begin(), query.kept.end(), id) != query.kept.end();
    const double finish =
        this->distance(id, one) * (kept ? 1 - kept_share : 1) *
        (1 + unreachable_weight * pass.unreachable_share(one.data_centre)) *
        (expected +
         this->output_seconds(one, all, query.output_tokens, pass.now));
    return {open.member,
            open.free_slots,
            expected,
            crossing,
            {probe, disturbs, crossing.count() > 0, finish},
            kept};
}

void upstream_pool::add_candidates(
    std::span<const dispatch_pass::open_member> open,
    const query_state& state,
    dispatch_pass& pass,
    std::vector<candidate>& out) const
{
    for (const dispatch_pass::open_member& one : open) {
        const bool probe = is_probe_due(one.member, pass);
        pass.rated += 1;
        if (this->is_considered(one.member, state, probe))
            out.push_back(this->rate_open(one, state, probe));
    }
}

// The best candidate or, with many entries, a random one of those that are
// about as good, weighted by their free slots and with a strong preference for
// the own data centre.
const upstream_pool::candidate*
upstream_pool::pick(std::span<const candidate> open, std::uint64_t draw) const
{
    const auto best = std::min_element(
        open.begin(), open.end(), [](const auto& one, const auto& other) {
            return goes_before(one.score, other.score);
        });
    if (best == open.end())
        return nullptr;
    // A probe crosses only with a request that crosses anyway.
    const auto probe =
        std::find_if(open.begin(), open.end(), [&](const candidate& one) {
            return best->score.crosses && one.score.crosses &&
                   one.score.probe &&
                   one.score.disturbs == best->score.disturbs;
        });
    if (probe != open.end())
        return &*probe;
    if (this->finish_tolerance <= 0 || best->score.probe)
        return &*best;
    const auto weight = [&](const candidate& one) {
        if (one.score.disturbs != best->score.disturbs ||
            one.score.crosses != best->score.crosses || one.score.probe ||
            one.score.finish >
                best->score.finish * (1 + this->finish_tolerance))
            return 0.0;
        return one.free_slots * (one.member.state->is_near ? 1 : far_weight) *
               (one.kept ? kept_weight : 1);
    };
    double sum = 0;
    for (const candidate& one : open)
        sum += weight(one);
    constexpr double range = 1U << 20U;
    const std::uint64_t lot = placement::mix(this->identity.salt, draw);
    double left = sum *
                  static_cast<double>(lot % static_cast<std::uint64_t>(range)) /
                  range;
    for (const candidate& one : open) {
        left -= weight(one);
        if (left < 0)
            return &one;
    }
    return &*best;
}

// Chooses an upstream whose streams it doesn't disturb, then the earliest
// expected finish. A probe that is due goes first, since a busy fleet would
// otherwise never send it.
std::optional<dispatch_choice>
upstream_pool::choose(const dispatch_query& query, dispatch_pass& pass) const
{
    if (pass.open.empty() && pass.suspected.empty())
        return std::nullopt;
    const query_state state = this->state_of(query, pass);
    std::vector<candidate> open;
    open.reserve(pass.open.size());
    this->add_candidates(pass.open, state, pass, open);
    if (state.any_will_do)
        this->add_candidates(pass.suspected, state, pass, open);
    const candidate* chosen = this->pick(open, query.draw);
    if (chosen == nullptr)
        return std::nullopt;
    const upstream_state& one = *chosen->member.state;
    dispatch_choice out;
    out.upstream = chosen->member.id;
    out.expected = chosen->expected;
    out.finish = chosen->score.finish;
    out.probe = chosen->score.probe;
    out.crossing = chosen->crossing;
    out.delay = this->delay_on(one, *pass.service, query, pass.now);
    out.choice = {{},
                  one.own_requests,
                  one.peer_requests,
                  one.slots,
                  this->oldest_load_report(pass.now),
                  placement::duration_of(chosen->expected),
                  placement::duration_of(this->gap_expected(
                      one, *pass.service, query.prompt_tokens, pass.now)),
                  chosen->score.disturbs ? "disturbs" : "suits"};
    return out;
}

// Seconds that the request takes to its first event, and by which streams that
// run there are held up beyond their promised gap.
double upstream_pool::delay_on(const upstream_state& one,
                               const service_state& all,
                               const dispatch_query& query,
                               base::instant now) const
{
    const double begins =
        seconds_of(this->crossing_delay(one, query.prompt_tokens)) +
        this->expected_on(one, all, query.prompt_tokens, now);
    if (query.event_gap_objective.count() <= 0)
        return begins;
    const double pause =
        gap_margin * this->gap_expected(one, all, query.prompt_tokens, now) -
        seconds_of(query.event_gap_objective);
    const std::uint32_t streams = one.own_requests + one.peer_requests;
    return begins + streams * std::max(0.0, pause);
}

better_upstreams upstream_pool::better_than(const dispatch_choice& offered,
                                            const dispatch_query& query,
                                            dispatch_pass& pass) const
{
    better_upstreams out;
    const query_state state = this->state_of(query, pass);
    const std::size_t count = std::min(pass.full.size(), sample_size);
    double better = 0;
    double delays = 0;
    for (std::size_t step = 0; step < count; ++step) {
        const std::size_t at = (pass.sample_begin + step) % pass.full.size();
        const service_member& member = pass.full[at];
        const upstream_state& one = *member.state;
        const bool probe = is_probe_due(member, pass);
        pass.rated += 1;
        if (probe || !this->is_considered(member, state, probe))
            continue;
        const double delay =
            this->delay_on(one, *pass.service, query, pass.now);
        if (delay >= offered.delay)
            continue;
        better += one.slots;
        delays += one.slots * delay;
        out.any_in_region =
            out.any_in_region ||
            this->crossing_delay(one, query.prompt_tokens).count() == 0;
    }
    if (better <= 0)
        return out;
    pass.sample_begin = (pass.sample_begin + count) % pass.full.size();
    out.slots = better * static_cast<double>(pass.full.size()) /
                static_cast<double>(count);
    out.delay = delays / better;
    return out;
}

} // namespace greengagedrum::traffic
