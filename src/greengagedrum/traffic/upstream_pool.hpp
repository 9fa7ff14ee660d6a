// The upstreams of all services: what each is running, how fast it is, and
// which of them gets a request.
//
// Upstreams run what they are sent in order of arrival, so a request sent to a
// full one waits where nobody can order it or move it. Hence an upstream is
// sent no more than it runs at once, own and peers' requests counted together;
// what finds no place waits at the entry.
#pragma once

#include <greengagedrum/base/ids.hpp>
#include <greengagedrum/base/time.hpp>
#include <greengagedrum/routing/upstream_directory.hpp>
#include <greengagedrum/traffic/inter_event_time.hpp>
#include <greengagedrum/traffic/messages.hpp>
#include <greengagedrum/traffic/prefill_interference.hpp>
#include <greengagedrum/traffic/slow_start.hpp>
#include <greengagedrum/traffic/upstream_trust.hpp>

#include <map>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace greengagedrum::traffic
{

// One entry's requests on one upstream.
struct upstream_load {
    base::upstream_id upstream;
    std::uint32_t requests = 0;
    std::uint32_t pending_prefill_tokens = 0; // not yet read by it
    base::duration event_gap{0}; // seen there; zero: nothing lately
};

// How well an upstream suits a request, by what is expected there.
enum class suitability : std::uint8_t {
    disturbs, // streams there would pause beyond the objective
    late,     // the request would miss its own objective
    in_time,
};

struct dispatch_choice {
    base::upstream_id upstream;
    choice_record choice;
    double expected = 0; // seconds to its first event
    double finish = 0;   // and to its last
    bool probe = false;
    suitability suits = suitability::disturbs;
    // The best of those that are full now.
    suitability best_full = suitability::disturbs;
};

// What a choice has to know of a request.
struct dispatch_query {
    base::upstream_class_id service;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t output_tokens = 0;          // expected
    std::span<const base::upstream_id> tried; // not to be taken again
    base::duration first_event_within{0};     // of its objective, what is left
    base::duration event_gap_objective{0};    // between events; 0: none
    std::uint64_t draw = 0;                   // any number, for choices by lot
    const routing::data_centre_constraint& allowed_data_centres;
};

// Where this entry stands, which tells its choices from its peers'.
struct entry_identity {
    std::string data_centre;
    std::uint64_t salt = 0; // differs between entries
};

class upstream_pool
{
public:
    explicit upstream_pool(entry_identity own) : own_place(std::move(own)) {}

    void join(const routing::published_upstream& entry, base::instant now);
    void leave(base::upstream_id upstream);

    // Replaces all that the peer told before.
    void on_peer_report(base::slot_id peer,
                        std::span<const upstream_load> uses,
                        base::instant now);
    void on_peer_lost(base::slot_id peer);
    // Peers whose message is too old count as lost.
    void forget_silent_peers(base::instant now);

    // Entries that take requests, this one included.
    void set_entry_count(std::size_t count);

    // Between two messages of a peer close by, at the least.
    void set_gossip_interval(base::duration gap);
    // Peers with requests that wait: they are after each place that falls free.
    void set_waiting_peers(std::size_t count) { this->waiting_peers = count; }

    // Requests that a cold upstream of the service gets in a second; 0: there
    // is no bound.
    void set_slow_start_rate(base::upstream_class_id service,
                             std::uint32_t sends)
    {
        this->services[service].cold_sends = sends;
    }
    // What is this entry's of it, at upstreams of the own data centre.
    void set_slow_start_share(const slow_start_share& share)
    {
        this->cold_share = share;
    }

    // None when no upstream has a free place.
    std::optional<dispatch_choice> choose(const dispatch_query& asked,
                                          base::instant now) const;

    void sent(const dispatch_choice& where,
              std::uint32_t prompt_tokens,
              base::instant now);
    // The first event or the whole answer, `took` after it was sent.
    void first_event(base::upstream_id upstream,
                     std::uint32_t prompt_tokens,
                     base::duration took,
                     double expected,
                     base::instant now);
    // So many events came on some request there, `gap` after its last ones
    // (zero: they were its first).
    void progressed(base::upstream_id upstream,
                    std::uint32_t events,
                    base::duration gap,
                    base::instant now);
    base::instant progress_at(base::upstream_id upstream) const;
    // A stream of so many tokens took so long from its first event to its last.
    void learn_output(base::upstream_id upstream,
                      std::uint32_t output_tokens,
                      base::duration took,
                      base::instant now);
    // `unread`: its prompt, when no event had come.
    void ended(base::upstream_id upstream, std::uint32_t unread);

    // Set when the upstream's standing changed by it.
    std::optional<suspicion_changed> good_end(base::upstream_id upstream);
    std::optional<suspicion_changed>
    bad_end(base::upstream_id upstream, trouble what, base::instant now);
    void probe_void(base::upstream_id upstream);

    // Requests that the service's sound upstreams run at once.
    std::uint32_t places(base::upstream_class_id service) const;
    std::uint32_t free_places(base::upstream_class_id service,
                              base::instant now) const;
    // Any place that could be taken, at a suspect too.
    bool any_open(base::upstream_class_id service, base::instant now) const;
    // Taken by peers.
    std::uint32_t foreign_places(base::upstream_class_id service) const;
    bool
    known(base::upstream_class_id service,
          const routing::data_centre_constraint& allowed_data_centres) const;
    // It is published, takes requests, and stands in one of the homes.
    bool
    may_run(base::upstream_id upstream,
            const routing::data_centre_constraint& allowed_data_centres) const;

    // Seconds to the first event on a usual upstream with nothing before it.
    double usual_first_event(base::upstream_class_id service,
                             std::uint32_t prompt_tokens) const;

    // Of this entry, for its peers.
    std::vector<upstream_load> own_load(base::instant now) const;

    std::size_t peers() const { return this->told.size(); }

private:
    // A service's means move slowly: they stand for dozens of ends.
    static constexpr double service_weight = 0.03;

    struct upstream {
        base::upstream_class_id service;
        std::uint32_t slots = 1;
        bool listed = true;
        base::data_centre_id data_centre;
        // Until when each place that a peer freed is left to that peer.
        std::vector<base::instant> peers_turns;
        std::uint32_t own = 0;
        std::uint32_t own_unread = 0; // prompt tokens
        std::uint32_t others = 0;
        std::uint32_t others_unread = 0;
        double pace = 0; // time taken over time of a usual upstream; 0: unknown
        base::instant paced_at;
        base::instant progress_at;
        inter_event_time speed;
        upstream_trust trust;
        base::instant cold_until;
        recent_sends recent; // where the service has a bound while cold
    };

    struct peer_load {
        base::instant at;
        std::vector<upstream_load> uses;
    };

    struct service_state {
        std::vector<base::upstream_id> members;
        double pace = 1;        // mean of its upstreams'
        double event_gap = 0;   // the same, in seconds; 0: unknown
        double events = 0;      // that taught it
        double token_time = 0;  // seconds for one expected output token
        double bad = 0;         // share of bad ends
        base::instant probe_at; // when the next probe may be sent
        prefill_interference gaps;
        std::uint32_t cold_sends = 0; // to one of them in a second; 0: any
    };

    // How slow it is against the service's mean; none while that is unknown.
    static std::optional<double>
    slowness(const upstream& one, const service_state& all, base::instant now);
    double pace_of(const upstream& one,
                   const service_state& all,
                   base::instant now) const;
    double expected_on(const upstream& one,
                       const service_state& all,
                       std::uint32_t prompt_tokens,
                       base::instant now) const;
    double output_seconds(const upstream& one,
                          const service_state& all,
                          std::uint32_t output_tokens,
                          base::instant now) const;
    double gap_expected(const upstream& one,
                        const service_state& all,
                        std::uint32_t prompt_tokens,
                        base::instant now) const;
    suitability suits(const upstream& one,
                      const service_state& all,
                      const dispatch_query& asked,
                      base::instant now) const;
    void count_peer(const peer_load& message, base::instant now);
    void uncount_peer(const peer_load& message);
    void note_turns(base::upstream_id id,
                    upstream& one,
                    std::uint32_t before,
                    base::instant now);
    void note_join(base::upstream_id id, upstream& one, base::instant now);
    base::duration own_turn(std::uint64_t lot) const;
    std::uint32_t open_places(const upstream& one, base::instant now) const;
    std::uint32_t cold_room(const upstream& one, base::instant now) const;
    bool is_near(const upstream& one) const;
    std::size_t sound_nearby(const service_state& all) const;
    bool may_use(base::upstream_id id,
                 const upstream& one,
                 const dispatch_query& asked) const;
    double distance(base::upstream_id id, const upstream& one) const;
    // Data centres with upstreams that can't be reached, and their share.
    using lost_shares = std::map<base::data_centre_id, double>;
    lost_shares lost_by_place(const service_state& all) const;
    base::duration oldest_load_report(base::instant now) const;
    bool all_suspected(const service_state& all) const;
    upstream* find(base::upstream_id id);

    struct candidate;
    struct offers;
    offers open_offers(const service_state& all,
                       const dispatch_query& asked,
                       base::instant now) const;
    const candidate* pick(const offers& open, std::uint64_t draw) const;

    entry_identity own_place;
    slow_start_share cold_share{0, 1};
    std::size_t entries = 1;
    double alike = 0; // see set_entries()
    std::size_t waiting_peers = 0;
    base::duration peers_turn = std::chrono::milliseconds(14);
    std::unordered_map<base::upstream_id, upstream> upstreams;
    std::unordered_map<base::upstream_class_id, service_state> services;
    std::unordered_map<base::slot_id, peer_load> told;
    base::instant silence_checked_at;
};

} // namespace greengagedrum::traffic
