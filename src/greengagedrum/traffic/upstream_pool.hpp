// The upstreams of all services: their load, their speed, and the choice of one
// for a request.
//
// Upstreams run requests in order of arrival, so a request sent to a full
// upstream waits in a queue where it can't be reordered or moved. An upstream
// is therefore sent no more requests than it runs at once, those of this entry
// and of its peers together. Requests without a slot wait at the entry.
#pragma once

#include <greengagedrum/base/ids.hpp>
#include <greengagedrum/base/time.hpp>
#include <greengagedrum/routing/regions.hpp>
#include <greengagedrum/routing/upstream_directory.hpp>
#include <greengagedrum/traffic/announced_limits.hpp>
#include <greengagedrum/traffic/crossing_estimator.hpp>
#include <greengagedrum/traffic/dispatch_pass.hpp>
#include <greengagedrum/traffic/limit_permits.hpp>
#include <greengagedrum/traffic/messages.hpp>
#include <greengagedrum/traffic/reachability.hpp>
#include <greengagedrum/traffic/upstream_state.hpp>

#include <map>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace greengagedrum::traffic
{

// The load that one entry puts on one upstream.
struct upstream_load {
    base::upstream_id upstream;
    std::uint32_t requests = 0;
    std::uint32_t pending_prefill_tokens = 0; // still to be processed
    base::duration event_gap{
        0}; // mean time between events; zero: no recent stream
};

// The upstreams without a free slot at which a request would cost less time
// than at the one it is offered.
struct better_upstreams {
    double slots = 0; // estimated from a sample
    double delay = 0; // mean, see `dispatch_choice::delay`
    bool any_in_region = false;
};

struct dispatch_choice {
    base::upstream_id upstream;
    choice_record choice;
    double expected = 0; // seconds to the first event
    double finish = 0;   // seconds to the last event
    // Seconds that the callers lose there: the time to the first event and, for
    // each stream that runs there, what its pause exceeds the promised gap by.
    double delay = 0;
    bool probe = false;
    // The delay of crossing to another region; zero in the own region.
    base::duration crossing{0};
};

// The attributes of a request that the choice of an upstream depends on.
struct dispatch_query {
    base::upstream_class_id service;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t output_tokens = 0;          // expected
    std::span<const base::upstream_id> tried; // not to be selected again
    base::duration event_gap_objective{0};    // between two events; 0: none
    std::uint64_t draw = 0; // seed of random choices, any number
    const routing::data_centre_constraint& allowed_data_centres;
    base::slot_id sender = this_entry; // the entry that will send the request
    // To which the sender keeps a connection that the request may use.
    std::span<const base::upstream_id> kept{};
    base::version_id version{}; // of the only upstreams allowed; empty: any
    // It runs at an upstream that may go on, which it would leave.
    bool moves = false;
};

// Identifies this entry, so that its choices differ from those of its peers.
struct entry_identity {
    std::string data_centre;
    std::uint64_t salt = 0; // differs between entries
    routing::region_map regions{};
};

class upstream_pool
{
public:
    explicit upstream_pool(entry_identity own)
        : identity(std::move(own)),
          regions(base::data_centre_id(this->identity.data_centre),
                  this->identity.regions)
    {
    }
    // A copy's services would point into the original.
    upstream_pool(const upstream_pool&) = delete;
    upstream_pool& operator=(const upstream_pool&) = delete;
    upstream_pool(upstream_pool&&) = default;
    upstream_pool& operator=(upstream_pool&&) = default;
    ~upstream_pool() = default;

    void set_regions(const routing::region_map& all);
    // A connect of this entry to the upstream took that long.
    void record_connect(base::upstream_id upstream, base::duration took);

    void join(const routing::published_upstream& entry, base::instant now);
    void leave(base::upstream_id upstream);

    // Replaces the previous report of the peer.
    void on_peer_report(base::slot_id peer,
                        std::span<const upstream_load> uses,
                        base::instant now);
    void on_peer_lost(base::slot_id peer);
    // Treats peers whose last report is too old as lost.
    void forget_silent_peers(base::instant now);

    // Sets the number of entries that dispatch requests, this one included.
    void set_entry_count(std::size_t count);

    // Sets the shortest interval between two messages of a peer in the own data
    // centre.
    void set_gossip_interval(base::duration gap);
    // Sets the number of peers with queued requests, which compete for each
    // freed slot.
    void set_waiting_peers(std::size_t count) { this->waiting_peers = count; }

    // Sets how many requests a cold upstream of the service may get in a
    // second; 0: no bound.
    void set_slow_start_rate(base::upstream_class_id service,
                             std::uint32_t sends)
    {
        this->services[service].cold_rate = sends;
    }
    // Sets this entry's share of that rate, and of the limits that upstreams
    // announce, at upstreams of the own data centre.
    void set_slow_start_share(const slow_start_share& share)
    {
        this->cold_share = share;
        this->limits.set_share(share);
    }

    // The rate limits that upstreams announce.
    traffic::announced_limits& announced_limits() { return this->limits; }
    const traffic::announced_limits& announced_limits() const
    {
        return this->limits;
    }

    // Permits of other entries to send to upstreams with such a limit.
    traffic::limit_permits& limit_permits() { return this->permits; }
    // Of so many queued requests of a service, those that need permits.
    std::uint32_t unmet_limit_need(base::upstream_class_id service,
                                   std::size_t queued,
                                   base::instant now) const;
    // Gives what this entry does not use of its parts, as far as it is asked
    // to.
    std::vector<limit_permit> give_permits(const limit_need& need,
                                           std::uint64_t need_number,
                                           base::instant now);

    // Begins a pass over the queue of the service. Its vectors are reused.
    void begin_pass(base::upstream_class_id service,
                    base::instant now,
                    dispatch_pass& pass) const;
    // To be called when a request was sent to the upstream, or ended there,
    // during the pass.
    void update_pass(base::upstream_id upstream, dispatch_pass& pass) const;
    // Nothing when no suitable upstream has a free slot.
    std::optional<dispatch_choice> choose(const dispatch_query& query,
                                          dispatch_pass& pass) const;
    // Looks at a few upstreams without a free slot.
    better_upstreams better_than(const dispatch_choice& offered,
                                 const dispatch_query& query,
                                 dispatch_pass& pass) const;

    void sent(const dispatch_choice& where,
              std::uint32_t prompt_tokens,
              base::instant now);
    // The first event or the whole answer arrived `took` after the request was
    // sent. `expected` is the estimate in seconds.
    void first_event(base::upstream_id upstream,
                     std::uint32_t prompt_tokens,
                     base::duration took,
                     double expected,
                     base::instant now);
    // A number of events arrived for one request, `gap` after its previous ones
    // (zero: they were its first).
    void progressed(base::upstream_id upstream,
                    std::uint32_t events,
                    base::duration gap,
                    base::instant now);
    base::instant progress_at(base::upstream_id upstream) const;
    // A stream of `output_tokens` took this long from its first event to its
    // last.
    void record_output(base::upstream_id upstream,
                       std::uint32_t output_tokens,
                       base::duration took,
                       base::instant now);
    // A request ended. `unread` is its number of prompt tokens if it ended
    // before its first event, else 0.
    void ended(base::upstream_id upstream, std::uint32_t unread);

    // Returns a value when the upstream's suspicion changed.
    std::optional<suspicion_changed> record_success(base::upstream_id upstream);
    std::optional<suspicion_changed> record_failure(base::upstream_id upstream,
                                                    failure_kind what,
                                                    base::instant now);
    void probe_inconclusive(base::upstream_id upstream);

    // Which entries reach which upstreams, for those that send requests which
    // this entry dispatches.
    traffic::reachability& reachability() { return this->reach; }
    const traffic::reachability& reachability() const { return this->reach; }

    // Total number of slots of the service's healthy upstreams.
    std::uint32_t total_slots(base::upstream_class_id service) const;
    std::uint32_t total_free_slots(base::upstream_class_id service,
                                   base::instant now) const;
    // Slots used by peers.
    std::uint32_t peer_used_slots(base::upstream_class_id service) const;
    // Slots used by this entry and its peers.
    std::uint32_t used_slots(base::upstream_class_id service) const;
    // An empty version stands for any.
    bool
    has_upstream(base::upstream_class_id service,
                 const routing::data_centre_constraint& allowed_data_centres,
                 base::version_id version) const;
    // True when the upstream is published for the service, takes requests, is
    // in an allowed data centre and has that version.
    bool
    is_available(base::upstream_id upstream,
                 base::upstream_class_id service,
                 const routing::data_centre_constraint& allowed_data_centres,
                 base::version_id version) const;
    // True when an upstream other than `except` may be sent the request, at
    // once or once it has a free slot. One where connects fail may not, unless
    // `even_unreachable` is set.
    bool has_usable(const dispatch_query& query,
                    base::upstream_id except,
                    bool even_unreachable) const;
    // Empty: unknown.
    base::version_id version_of(base::upstream_id upstream) const;

    // Seconds to the first event on an average upstream without other load.
    double average_first_event(base::upstream_class_id service,
                               std::uint32_t prompt_tokens) const;

    // This entry's load on all upstreams, for reports to peers.
    std::vector<upstream_load> own_load(base::instant now) const;

    std::size_t peers() const { return this->peer_loads.size(); }

private:
    // Weight of the newest sample in the means of a service, which average over
    // dozens of requests.
    static constexpr double service_weight = 0.03;

    struct peer_load {
        base::instant at;
        std::vector<upstream_load> uses;
    };

    // Time between events relative to the service's mean; nothing while
    // unknown.
    static std::optional<double> slowness(const upstream_state& one,
                                          const service_state& all,
                                          base::instant now);
    double pace_of(const upstream_state& one,
                   const service_state& all,
                   base::instant now) const;
    double expected_on(const upstream_state& one,
                       const service_state& all,
                       std::uint32_t prompt_tokens,
                       base::instant now) const;
    double output_seconds(const upstream_state& one,
                          const service_state& all,
                          std::uint32_t output_tokens,
                          base::instant now) const;
    double gap_expected(const upstream_state& one,
                        const service_state& all,
                        std::uint32_t prompt_tokens,
                        base::instant now) const;
    double delay_on(const upstream_state& one,
                    const service_state& all,
                    const dispatch_query& query,
                    base::instant now) const;
    bool disturbs_streams(const upstream_state& one,
                          const service_state& all,
                          const dispatch_query& query,
                          base::instant now) const;
    base::duration crossing_delay(const upstream_state& one,
                                  std::uint32_t prompt_tokens) const;
    void locate(upstream_state& one) const;
    void remove_member(base::upstream_class_id service, base::upstream_id id);
    static bool
    is_available(const upstream_state& one,
                 const routing::data_centre_constraint& allowed_data_centres,
                 base::version_id version);
    void count_peer(const peer_load& message, base::instant now);
    void uncount_peer(const peer_load& message);
    void reserve_freed_slots(base::upstream_id id,
                             upstream_state& one,
                             std::uint32_t before,
                             base::instant now);
    void reserve_new_slots(base::upstream_id id,
                           upstream_state& one,
                           base::instant now);
    base::duration turn_delay(std::uint64_t lot) const;
    std::uint32_t free_slots(base::upstream_id id,
                             const upstream_state& one,
                             base::instant now) const;
    std::uint32_t cold_allowance(const upstream_state& one,
                                 base::instant now) const;
    // False when the request must not be sent to the upstream, whatever its
    // state.
    static bool fits(base::upstream_id id,
                     const upstream_state& one,
                     const dispatch_query& query);
    bool may_use(base::upstream_id id,
                 const upstream_state& one,
                 const dispatch_query& query) const;
    double distance(base::upstream_id id, const upstream_state& one) const;
    base::duration oldest_load_report(base::instant now) const;
    static bool all_suspected(const dispatch_query& query,
                              const dispatch_pass& pass);
    static void add_unreachable_shares(dispatch_pass& pass);
    static bool is_probe_due(const service_member& member,
                             const dispatch_pass& pass);
    upstream_state* find(base::upstream_id id);

    struct candidate;
    struct query_state;
    query_state state_of(const dispatch_query& query,
                         const dispatch_pass& pass) const;
    // Whether the upstream is considered for the request; `probe`: by a
    // probe that is due.
    bool is_considered(const service_member& member,
                       const query_state& state,
                       bool probe) const;
    candidate rate_open(const dispatch_pass::open_member& open,
                        const query_state& state,
                        bool probe) const;
    void add_candidates(std::span<const dispatch_pass::open_member> open,
                        const query_state& state,
                        dispatch_pass& pass,
                        std::vector<candidate>& out) const;
    const candidate* pick(std::span<const candidate> open,
                          std::uint64_t draw) const;

    entry_identity identity;
    routing::region_distances regions;
    crossing_estimator crossings;
    slow_start_share cold_share{0, 1};
    std::size_t entries = 1;
    double finish_tolerance = 0; // see set_entry_count()
    std::size_t waiting_peers = 0;
    base::duration reservation = std::chrono::milliseconds(14);
    // Members of services point into it.
    std::unordered_map<base::upstream_id, upstream_state> upstreams;
    std::unordered_map<base::upstream_class_id, service_state> services;
    std::unordered_map<base::slot_id, peer_load> peer_loads;
    base::instant silence_checked_at;
    traffic::announced_limits limits;
    traffic::limit_permits permits;
    traffic::reachability reach;
};

} // namespace greengagedrum::traffic
