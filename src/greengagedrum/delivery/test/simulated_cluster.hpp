// A simulated cluster of entries for tests.
#pragma once

#include <greengagedrum/delivery/scheduler.hpp>

#include <doctest/doctest.h>

#include <array>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace greengagedrum::delivery
{

using namespace std::chrono_literals;

inline constexpr std::array<const char*, 3> cluster_slots = {"a", "b", "d"};

// A process in a slot, with the state that its peer links and sessions hold in
// production.
struct simulated_entry {
    struct caller_request {
        std::size_t subject = 0;
        bool ended = false;
    };
    struct received_heartbeat {
        base::incarnation incarnation;
        base::instant sent_at; // clock of the peer, echoed to it
    };

    base::slot_id slot;
    base::incarnation incarnation;
    std::unique_ptr<scheduler> core;
    base::instant last_run_at;
    bool paused = false;
    bool dead = false;
    // When the time limit of a graceful stop passes.
    base::instant forced_stop_at = base::instant::max();
    std::map<base::request_id, caller_request> requests;
    std::map<base::slot_id, received_heartbeat> received_heartbeats;
    std::map<base::slot_id, base::incarnation> known_incarnations;
};

// The dispatches and results of one ticket or idempotency key in the whole
// cluster.
struct subject_record {
    idempotency::claim_subject claim;
    base::instant first_sent_at;
    base::dispatch_id last_dispatch;
    int dispatch_count = 0; // without dispatches whose connect was refused
    int not_run = 0;
    int replayed = 0;
    int answered = 0;
    int may_have_run = 0;
};

// Runs three entries of one data centre in virtual time. Messages between them
// go through a queue that loses, duplicates and delays them. The class makes no
// scheduling decisions: it delivers messages, counts the dispatches that
// reached upstreams, and records the results that callers received.
class simulated_cluster
{
public:
    explicit simulated_cluster(std::uint64_t seed);

    simulated_entry& start_entry(base::slot_id slot);
    void kill(simulated_entry& item);
    void advance(base::duration step);
    // Advances by `span` without faults and checks that all requests ended.
    void drain(base::duration span);
    void send_request(simulated_entry& entry, std::size_t subject);
    void step(simulated_entry& entry, const event& input);
    // Sends the instance list, which is empty if not `listed`.
    void list_upstreams(simulated_entry& to, bool listed);
    void cut_link(const simulated_entry& left, const simulated_entry& right);
    void heal_links() { this->cut_links.clear(); }
    std::size_t add_key(const std::string& text);
    std::size_t add_dated_key();
    std::size_t add_ticket(simulated_entry& home);
    std::vector<simulated_entry*> live_entries();
    std::uint64_t random_below(std::uint64_t bound);
    bool chance(double probability);
    std::string failure_context() const;

    base::instant now{1h};
    double fault_probability = 0; // of each message and stream
    std::uint64_t dispatches = 0;
    std::vector<subject_record> subjects;

private:
    struct heartbeat_message {
        membership::heartbeat body;
        base::instant sent_at;
        base::incarnation echo_incarnation;
        base::instant echoed_sent_at;
    };
    // An event or heartbeat that an entry receives later. `from` is null unless
    // another entry sent it.
    struct scheduled_event {
        simulated_entry* to = nullptr;
        simulated_entry* from = nullptr;
        std::variant<event, heartbeat_message> payload;
    };

    static scheduler_options options_for(base::slot_id slot,
                                         base::incarnation incarnation,
                                         std::uint64_t seed);
    void publish_config(simulated_entry& to);
    void run_once(simulated_entry& entry);
    void deliver(const scheduled_event& item);
    void on_heartbeat(simulated_entry& entry, const heartbeat_message& message);
    void send_heartbeats();
    void schedule(base::duration delay, scheduled_event item);
    void send_message(simulated_entry& from,
                      simulated_entry& to,
                      scheduled_event item);
    base::duration random_latency();

    void execute(simulated_entry& entry, const start_dispatch& order);
    void execute(simulated_entry& entry, const start_resume& order);
    void execute(simulated_entry& entry, const stop_stream& order);
    void execute(simulated_entry& entry, const end_answered& order);
    void execute(simulated_entry& entry, const end_failed& order);
    void execute(simulated_entry& entry, const assign_ticket& order);
    void execute(simulated_entry& entry, const send_claim_message& order);
    static void execute(simulated_entry& entry, const send_load_digest& order);
    subject_record& end_request(simulated_entry& entry, base::request_id id);
    base::answer_ptr make_answer(base::dispatch_id dispatch) const;

    std::uint64_t seed;
    std::mt19937_64 generator;
    std::vector<std::unique_ptr<simulated_entry>> entries;
    std::multimap<base::instant, scheduled_event> scheduled;
    // Events received by paused entries.
    std::map<simulated_entry*, std::vector<scheduled_event>> undelivered;
    std::set<std::pair<const simulated_entry*, const simulated_entry*>>
        cut_links;
    std::set<base::dispatch_id> refused_dispatches; // no byte was written
    base::instant next_heartbeat_at;
    std::uint64_t last_incarnation = 0;
    std::uint64_t last_request = 0;
    std::optional<idempotency::ticket> assigned_ticket;
};

} // namespace greengagedrum::delivery
