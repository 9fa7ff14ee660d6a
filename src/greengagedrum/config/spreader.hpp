// Decides whom this instance asks for documents, and when.
//
// The service counts every call and its rate grows more slowly than the fleet,
// so only a few instances of each data centre watch it: those whose slots come
// first among the live ones, passing over those that have lost it. Nobody is
// elected and nothing is agreed; when two views differ, there are a few
// watchers more or less for a moment. The others hear from peers, whose
// heartbeats tell how far they are. What is heard is the store's business
// (store.hpp): older answers from anywhere do no harm there.
//
// A new process asks peers before it believes the service, which may be
// answering an older revision: else it would serve by rules that its peers
// have left behind.
#pragma once

#include <greengagedrum/config/call_budget.hpp>
#include <greengagedrum/config/spread_messages.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace greengagedrum::config
{

struct spread_settings {
    base::slot_id own;
    std::uint32_t watchers = 2;    // of each data centre
    std::uint32_t first_peers = 3; // asked by a new process
    base::duration watch_wait{1'000'000};
    // A call whose answer is this late is given up: its connection is silent.
    base::duration service_patience{500'000};
    base::duration peer_patience{500'000};
    base::duration first_patience{1'500'000};  // for peers to be found at all
    base::duration listed_patience{5'000'000}; // the same, with some listed
    base::duration peer_pause{250'000};        // between two asks of one peer
    base::duration poll_every{2'000'000};
    // How often one that does not watch reads the service all the same, in
    // case that every watcher is cut off from it.
    base::duration audit_every{30'000'000};
    base::duration backoff_min{500'000};
    base::duration backoff_max{2'000'000};
    double calls_per_second = 2; // of the service, by this instance
    double calls_burst = 2;
};

class spreader
{
public:
    explicit spreader(const spread_settings& given);

    void step(const spread_event& event,
              const held_state& held,
              base::instant now,
              std::vector<spread_action>& out);

    // True once peers and service were asked and the set is complete: the
    // process may serve. Stays so.
    bool ready() const { return this->may_serve; }
    bool watching() const { return this->is_watcher; }
    // For the own heartbeat: others watch in the place of one that has lost
    // the service.
    base::platform_reachability contact(base::instant now) const;
    spread_ages ages(base::instant now) const;
    const spread_counters& counters() const { return this->counted; }

private:
    struct service_call {
        std::uint64_t call = 0;
        base::instant give_up;
    };
    using action_list = std::vector<spread_action>;

    void on(const spread_tick& tick, action_list& out);
    void on(const peer_answered& answer, action_list& out);
    void on(const peer_failed& failure, action_list& out);
    void on(const service_answered& answer, action_list& out);
    void on(const service_failed& failure, action_list& out);

    void give_up_silent(double random, action_list& out);
    void rank(std::span<const peer_view> peers);
    void start_with_peers(const spread_tick& tick, action_list& out);
    void follow_service(const spread_tick& tick, action_list& out);
    void follow_peers(const spread_tick& tick, action_list& out);
    void call_service(base::duration wait, action_list& out);
    void ask(base::slot_id slot, std::uint64_t since, action_list& out);
    void note_service_failure(double random);
    void settle();
    bool may_ask(base::slot_id slot) const;

    spread_settings settings;
    call_budget budget;
    held_state held;     // of the event in hand
    base::instant now{}; // of the event in hand
    std::optional<service_call> pending;
    std::map<base::slot_id, base::instant> asked;      // when to give up
    std::map<base::slot_id, base::instant> not_before; // next ask of a peer
    std::optional<base::instant> started;
    std::optional<base::instant> service_heard;
    std::optional<base::instant> peers_heard;
    std::optional<base::instant> fleet_heard; // as a watcher tells
    base::instant service_due{};              // after a failure, not earlier
    std::optional<base::instant> audit_due;   // of one that does not watch
    base::instant poll_due{};
    std::uint64_t last_call = 0;
    std::uint32_t failures = 0; // of the service, in a row
    bool first_asked = false;   // of peers
    bool peers_tried = false;
    bool service_tried = false;
    bool may_serve = false;
    bool is_watcher = false;
    spread_counters counted;
};

} // namespace greengagedrum::config
