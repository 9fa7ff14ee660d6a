// Picks the upstream for a request, and remembers what this instance sent to
// each of them.
//
// It knows estimates only: what this instance sent itself is exact, all else
// is discounted by its age. It does not queue: a request for which no
// candidate has room stays with admission. This is the slice's door; the
// estimates are upstream_state's, the choice is the policy's.
#pragma once

#include <greengagedrum/base/request_spec.hpp>
#include <greengagedrum/capacity/messages.hpp>
#include <greengagedrum/config/fleet.hpp>
#include <greengagedrum/membership/messages.hpp>
#include <greengagedrum/placement/affinity.hpp>
#include <greengagedrum/placement/messages.hpp>
#include <greengagedrum/placement/options.hpp>
#include <greengagedrum/placement/output_estimate.hpp>
#include <greengagedrum/placement/policies.hpp>
#include <greengagedrum/placement/room.hpp>
#include <greengagedrum/placement/sending.hpp>
#include <greengagedrum/placement/upstream_state.hpp>
#include <greengagedrum/placement/upstream_view.hpp>

#include <map>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace greengagedrum::placement
{

struct choice {
    base::upstream_id upstream;
    base::duration finish{0}; // estimated, from now to the whole answer
    base::duration first_token{0};
};

class planner
{
public:
    explicit planner(base::data_centre_id own, const options& chosen = {});

    // Keeps what is known of upstreams that stay.
    void set_fleet(const config::fleet& fleet);

    // Upstreams that the list lacks or calls leaving get no new work.
    void set_listed(std::span<const membership::listed_instance> listed);

    // How many of its requests this instance may have there at once. Baselines
    // heed their own bound only.
    void set_allowance(base::upstream_id upstream, std::uint32_t requests);

    // Estimates start from here again after this report's age.
    void reported(const load_report& report, base::instant now);

    // What a peer has on each upstream; replaces what it told of these. It
    // counts until the peer is lost or not heard for 10 s.
    void peer_use(base::slot_id peer,
                  std::span<const capacity::upstream_usage> uses,
                  base::instant now);
    void peer_heard(base::slot_id peer, base::instant now);
    void peer_lost(base::slot_id peer);

    void cache_changed(const cache_event& event, base::instant now);

    // A connect was refused; a stream was silent past its patience.
    void refused(base::upstream_id upstream, base::instant now);
    void silent(base::upstream_id upstream, base::instant now);

    // None when no candidate has room; `avoid` is tried only when nothing
    // else is left.
    std::optional<choice> choose(const base::request_spec& item,
                                 std::span<const base::upstream_id> avoid,
                                 base::instant now);

    // True when some listed upstream of this instance's data centre could
    // serve it, with or without room.
    bool servable(const base::request_spec& item) const;

    void sent(base::dispatch_id dispatch,
              base::upstream_id upstream,
              const base::request_spec& item,
              base::instant now);
    void progressed(base::dispatch_id dispatch,
                    std::uint32_t tokens,
                    base::instant now);

    // The whole answer came; `ended` still follows. `cached_tokens`: of the
    // prompt, found in the engine's cache.
    void finished(base::dispatch_id dispatch,
                  std::uint32_t tokens,
                  std::uint32_t cached_tokens);
    void ended(base::dispatch_id dispatch, base::instant now);

    // How long the next token of this dispatch may take before its silence
    // counts as a failure. Covers the prefill of what is ahead of it and of
    // its own prompt at the measured speed, so that a long prompt is not taken
    // for a dead upstream; after the first token, the learnt gap.
    base::duration patience(base::dispatch_id dispatch,
                            base::instant now) const;

    // For status pages; null when unknown.
    const upstream_state* find(base::upstream_id upstream) const;

    // Every upstream that `takes` the work, with or without room, in the
    // order of the fleet document.
    std::vector<room> rooms(const base::request_spec& item) const;

    // All of the own data centre that the fleet names, in its order.
    std::vector<upstream_view> views(base::instant now) const;

    // As last set; zero of an upstream that the fleet does not name.
    std::uint32_t allowance(base::upstream_id upstream) const;

private:
    using candidates = std::vector<std::uint32_t>;
    using candidate_key = std::pair<base::upstream_class_id, base::model_id>;

    upstream_state* state_of(base::upstream_id upstream);
    const candidates& candidates_of(const base::request_spec& item) const;
    void compare_generations();
    void forget_silent_peers(base::instant now);

    base::data_centre_id own;
    options chosen;
    policy way;
    std::vector<upstream_state> upstreams;
    std::unordered_map<base::upstream_id, std::uint32_t> indexes;
    std::map<std::string, candidates> generations; // by class and generation
    mutable std::map<candidate_key, candidates> served; // filled when asked
    std::unordered_map<base::dispatch_id, sending> sendings;
    std::map<base::slot_id, base::instant> peers; // when last heard
    output_estimate outputs;
    affinity prefixes;
    base::instant upkeep_at;
    std::uint64_t questions = 0;
};

} // namespace greengagedrum::placement
