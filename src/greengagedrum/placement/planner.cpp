#include <greengagedrum/placement/mix.hpp>
#include <greengagedrum/placement/planner.hpp>
#include <greengagedrum/placement/seconds.hpp>

#include <algorithm>
#include <limits>

namespace greengagedrum::placement
{

namespace
{

// Silence is tolerated for this many times the estimate, above the floor.
constexpr double prefill_patience = 4;
constexpr double gap_patience = 16;

constexpr base::duration upkeep_period = std::chrono::seconds(1);
constexpr base::duration peer_silence = std::chrono::seconds(10);
constexpr std::size_t like_min = 3; // engines, to speak of what is usual
constexpr double learnt_min = 32;   // tokens, to count among them

} // namespace

planner::planner(base::data_centre_id own, const options& chosen)
    : own(own), chosen(chosen), way(make_policy(chosen.policy))
{
}

// ---- The fleet ------------------------------------------------------------

void planner::set_fleet(const config::fleet& fleet)
{
    std::vector<upstream_state> kept;
    std::unordered_map<base::upstream_id, std::uint32_t> places;
    this->generations.clear();
    for (const config::upstream_entry& entry : fleet.upstreams) {
        const auto index = static_cast<std::uint32_t>(kept.size());
        if (upstream_state* known = this->state_of(entry.id)) {
            kept.push_back(std::move(*known));
            kept.back().update(entry);
            kept.back().published = true;
        } else {
            kept.emplace_back(entry);
        }
        places.emplace(entry.id, index);
        if (this->chosen.policy != policy_choice::scheduler)
            kept.back().allowance =
                this->chosen.baseline_in_flight_max > 0
                    ? this->chosen.baseline_in_flight_max
                    : std::numeric_limits<std::uint32_t>::max();
        // Without a label nothing says that two upstreams are alike.
        if (entry.generation.empty())
            continue;
        const std::string like =
            std::to_string(entry.upstream_class.value) + "/" + entry.generation;
        this->generations[like].push_back(index);
    }
    // What left the fleet is kept until its streams have ended, for it may
    // come back before that and its places would seem free.
    for (upstream_state& state : this->upstreams) {
        if (state.in_flight == 0 || places.contains(state.id))
            continue;
        places.emplace(state.id, static_cast<std::uint32_t>(kept.size()));
        kept.push_back(std::move(state));
        kept.back().published = false;
    }
    this->upstreams = std::move(kept);
    this->indexes = std::move(places);
    this->served.clear();
}

void planner::set_listed(std::span<const membership::listed_instance> listed)
{
    for (upstream_state& state : this->upstreams)
        state.listed = false;
    for (const membership::listed_instance& line : listed) {
        if (line.type != membership::instance_type::upstream)
            continue;
        if (upstream_state* state =
                this->state_of(base::upstream_id(line.name)))
            state->listed = line.state == membership::listed_state::live;
    }
    this->served.clear();
}

void planner::set_allowance(base::upstream_id upstream, std::uint32_t requests)
{
    if (this->chosen.policy != policy_choice::scheduler)
        return;
    if (upstream_state* state = this->state_of(upstream))
        state->allowance = requests;
}

upstream_state* planner::state_of(base::upstream_id upstream)
{
    const auto found = this->indexes.find(upstream);
    return found == this->indexes.end() ? nullptr
                                        : &this->upstreams[found->second];
}

const upstream_state* planner::find(base::upstream_id upstream) const
{
    const auto found = this->indexes.find(upstream);
    return found == this->indexes.end() ? nullptr
                                        : &this->upstreams[found->second];
}

const planner::candidates&
planner::candidates_of(const base::request_spec& item) const
{
    const candidate_key key(item.upstream_class, item.model);
    const auto found = this->served.find(key);
    if (found != this->served.end())
        return found->second;
    candidates fresh;
    for (std::uint32_t index = 0; index < this->upstreams.size(); ++index) {
        const upstream_state& state = this->upstreams[index];
        if (state.listed && state.published &&
            state.entry.data_centre == this->own &&
            state.entry.upstream_class == item.upstream_class &&
            state.holds(item.model))
            fresh.push_back(index);
    }
    return this->served.emplace(key, std::move(fresh)).first->second;
}

bool planner::servable(const base::request_spec& item) const
{
    return !this->candidates_of(item).empty();
}

// ---- What others tell -----------------------------------------------------

void planner::reported(const load_report& report, base::instant now)
{
    upstream_state* state = this->state_of(report.upstream);
    if (state != nullptr && state->reported(report, now))
        this->served.clear();
}

void planner::peer_use(base::slot_id peer,
                       std::span<const capacity::upstream_usage> uses,
                       base::instant now)
{
    this->peer_heard(peer, now);
    for (const capacity::upstream_usage& use : uses) {
        if (upstream_state* state = this->state_of(use.upstream))
            state->foreign.told(peer, use.in_flight, use.tokens_in_flight, now);
    }
}

void planner::peer_heard(base::slot_id peer, base::instant now)
{
    this->peers.insert_or_assign(peer, now);
}

// Its link may hang without anyone having said that it is lost.
void planner::forget_silent_peers(base::instant now)
{
    std::vector<base::slot_id> silent;
    for (const auto& [peer, heard] : this->peers) {
        if (now - heard > peer_silence)
            silent.push_back(peer);
    }
    for (const base::slot_id peer : silent)
        this->peer_lost(peer);
}

void planner::peer_lost(base::slot_id peer)
{
    this->peers.erase(peer);
    for (upstream_state& state : this->upstreams)
        state.foreign.forget(peer);
}

void planner::cache_changed(const cache_event& event, base::instant now)
{
    this->prefixes.changed(event, now);
}

void planner::refused(base::upstream_id upstream, base::instant now)
{
    if (upstream_state* state = this->state_of(upstream))
        state->watch.failed(suspicion::refused, now);
}

void planner::silent(base::upstream_id upstream, base::instant now)
{
    if (upstream_state* state = this->state_of(upstream))
        state->watch.failed(suspicion::silent, now);
}

// What is usual among engines of one class and generation: the median, so
// that few stragglers don't move it.
void planner::compare_generations()
{
    std::vector<double> gaps;
    for (const auto& [name, members] : this->generations) {
        gaps.clear();
        for (const std::uint32_t index : members) {
            const decode_estimate& usual = this->upstreams[index].usual;
            if (usual.learnt() >= learnt_min)
                gaps.push_back(usual.gap(0));
        }
        double median = 0;
        if (gaps.size() >= like_min) {
            const auto middle =
                gaps.begin() + static_cast<std::ptrdiff_t>(gaps.size() / 2);
            std::nth_element(gaps.begin(), middle, gaps.end());
            median = *middle;
        }
        for (const std::uint32_t index : members)
            this->upstreams[index].generation_gap = median;
    }
}

// ---- Choice ---------------------------------------------------------------

std::optional<choice> planner::choose(const base::request_spec& item,
                                      std::span<const base::upstream_id> avoid,
                                      base::instant now)
{
    if (now - this->upkeep_at >= upkeep_period) {
        this->upkeep_at = now;
        this->forget_silent_peers(now);
        this->compare_generations();
    }
    const candidates& able = this->candidates_of(item);
    if (able.empty())
        return std::nullopt;
    this->questions += 1;
    affinity::credits credits;
    const bool hinted = item.prefix_hash != 0 &&
                        this->prefixes.find(item.prefix_hash, now, credits);
    const question asked{
        item,
        able,
        this->upstreams,
        avoid,
        hinted ? &credits : nullptr,
        this->outputs.expected(item),
        mix(this->chosen.slot.value ^ this->chosen.seed, this->questions),
        now};
    const auto selected =
        std::visit([&](auto& one) { return one.choose(asked); }, this->way);
    if (!selected)
        return std::nullopt;
    return choice{this->upstreams[selected->index].entry.id,
                  duration_of(selected->estimate.finish),
                  duration_of(selected->estimate.first_token)};
}

// ---- Own sends ------------------------------------------------------------

void planner::sent(base::dispatch_id dispatch,
                   base::upstream_id upstream,
                   const base::request_spec& item,
                   base::instant now)
{
    sending fresh;
    fresh.upstream = upstream;
    fresh.item = item;
    fresh.since = now;
    fresh.last = now;
    fresh.expected_prompt = item.prompt_tokens;
    affinity::credits credits;
    if (item.prefix_hash != 0 &&
        this->prefixes.find(item.prefix_hash, now, credits)) {
        for (const affinity::credit& one : credits) {
            if (one.upstream != upstream || one.tokens <= 0)
                continue;
            fresh.hinted = true;
            fresh.expected_prompt =
                std::max(1.0, item.prompt_tokens - one.tokens);
        }
    }
    if (upstream_state* state = this->state_of(upstream)) {
        state->sent(dispatch, fresh, now);
        const auto count = static_cast<double>(this->peers.size());
        if (!fresh.hinted && count > 0)
            state->foreign.mirror(count, count * item.prompt_tokens, now);
    }
    this->sendings.insert_or_assign(dispatch, fresh);
}

void planner::progressed(base::dispatch_id dispatch,
                         std::uint32_t tokens,
                         base::instant now)
{
    const auto found = this->sendings.find(dispatch);
    if (found == this->sendings.end())
        return;
    sending& send = found->second;
    if (send.tokens == 0 && tokens > 0)
        this->prefixes.stored(send.item.prefix_hash, send.upstream, now);
    if (upstream_state* state = this->state_of(send.upstream))
        state->progressed(dispatch, send, tokens, now);
}

void planner::finished(base::dispatch_id dispatch,
                       std::uint32_t tokens,
                       std::uint32_t cached_tokens)
{
    const auto found = this->sendings.find(dispatch);
    if (found == this->sendings.end())
        return;
    const sending& send = found->second;
    this->outputs.learn(send.item, std::max(tokens, send.tokens));
    if (send.hinted)
        this->prefixes.found(send.item.prefix_hash, cached_tokens);
}

void planner::ended(base::dispatch_id dispatch, base::instant now)
{
    const auto found = this->sendings.find(dispatch);
    if (found == this->sendings.end())
        return;
    if (upstream_state* state = this->state_of(found->second.upstream))
        state->ended(dispatch, found->second, now);
    this->sendings.erase(found);
}

base::duration planner::patience(base::dispatch_id dispatch,
                                 base::instant now) const
{
    const base::duration floor = this->chosen.patience_floor;
    const auto found = this->sendings.find(dispatch);
    if (found == this->sendings.end())
        return floor;
    const sending& send = found->second;
    const upstream_state* state = this->find(send.upstream);
    if (state == nullptr)
        return floor;
    if (send.tokens > 0) {
        const double beside = state->in_flight + state->foreign.requests(now);
        const double gap = state->decode.gap(beside) * send.largest_step;
        return std::max(floor, duration_of(gap_patience * gap));
    }
    // The prompt may not be cached after all, and a place may be waited for.
    const double prompt = send.ahead + send.item.prompt_tokens;
    const double estimate =
        std::max(send.first_token_time, prompt / state->prefill.speed());
    return floor + duration_of(prefill_patience * estimate);
}

} // namespace greengagedrum::placement
