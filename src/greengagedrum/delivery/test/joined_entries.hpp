// Three schedulers of one data centre, joined by a queue in virtual time that
// loses, repeats and delays, for tests. It has no decisions of its own: it
// passes messages, counts what upstreams were handed, and keeps what callers
// were told.
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

inline constexpr std::array<const char*, 3> joined_slots = {"a", "b", "d"};

// A process in a slot, with what its peer link and its sessions would keep.
struct joined_entry {
    struct asked_request {
        std::size_t subject = 0;
        bool ended = false;
    };
    struct peer_beat {
        base::incarnation life;
        base::instant sent; // by the peer, echoed to it
    };

    base::slot_id slot;
    base::incarnation life;
    std::unique_ptr<scheduler> core;
    base::instant last_turn;
    bool paused = false;
    bool dead = false;
    base::instant stop_at = base::instant::max(); // of a graceful stop
    std::map<base::request_id, asked_request> requests;
    std::map<base::slot_id, peer_beat> beats;
    std::map<base::slot_id, base::incarnation> lives;
};

// What the world knows of one ticket or key.
struct joined_subject {
    idempotency::claim_subject claim;
    base::instant first_sent;
    base::dispatch_id written_as; // the last dispatch
    int written = 0;              // dispatches of which bytes left
    int not_run = 0;
    int recalled = 0;
    int answered = 0;
    int may_have_run = 0;
};

class joined_entries
{
public:
    explicit joined_entries(std::uint64_t seed);

    joined_entry& start(base::slot_id slot);
    void kill(joined_entry& item);
    void pass(base::duration step);
    void settle(base::duration span); // no faults, until all has ended
    void send(joined_entry& at, std::size_t subject);
    void step(joined_entry& at, const event& what);
    void list(joined_entry& to, bool any); // the upstreams, or none
    void cut(const joined_entry& left, const joined_entry& right);
    void heal() { this->cuts.clear(); }
    std::size_t add_key(const std::string& text);
    std::size_t add_dated_key();
    std::size_t add_ticket(joined_entry& home);
    std::vector<joined_entry*> living();
    std::uint64_t below(std::uint64_t bound);
    bool chance(double part);
    std::string where() const;

    base::instant now{1h};
    double faults = 0; // part of messages and streams that go wrong
    std::uint64_t dispatches = 0;
    std::vector<joined_subject> subjects;

private:
    struct beat {
        membership::heartbeat said;
        base::instant sent;
        base::incarnation echo_life;
        base::instant echo;
    };
    // What happens to an entry later; for a message also from whom it comes.
    struct happening {
        joined_entry* to = nullptr;
        joined_entry* from = nullptr;
        std::variant<event, beat> what;
    };

    static scheduler_options
    options_for(base::slot_id slot, base::incarnation life, std::uint64_t seed);
    void publish(joined_entry& to);
    void turn(joined_entry& at);
    void take(const happening& item);
    void hear(joined_entry& at, const beat& said);
    void send_beats();
    void later(base::duration wait, happening what);
    void between(joined_entry& from, joined_entry& to, happening what);
    base::duration trip();

    void carry_out(joined_entry& at, const start_dispatch& what);
    void carry_out(joined_entry& at, const start_resume& what);
    void carry_out(joined_entry& at, const stop_stream& what);
    void carry_out(joined_entry& at, const end_answered& what);
    void carry_out(joined_entry& at, const end_failed& what);
    void carry_out(joined_entry& at, const assign_ticket& what);
    void carry_out(joined_entry& at, const send_claim_message& what);
    static void carry_out(joined_entry& at, const send_load_digest& what);
    joined_subject& end(joined_entry& at, base::request_id request);
    base::answer_ptr answer_of(base::dispatch_id dispatch) const;

    std::uint64_t seed;
    std::mt19937_64 generator;
    std::vector<std::unique_ptr<joined_entry>> all;
    std::multimap<base::instant, happening> due;
    std::map<joined_entry*, std::vector<happening>> unread; // while paused
    std::set<std::pair<const joined_entry*, const joined_entry*>> cuts;
    std::set<base::dispatch_id> refused; // of which no byte left
    base::instant next_beat;
    std::uint64_t last_life = 0;
    std::uint64_t last_request = 0;
    std::optional<idempotency::ticket> minted;
};

} // namespace greengagedrum::delivery
