// Decides whether a request may be dispatched by this process, under a ticket
// or a caller's own key.
//
// It is requester, home and holder in one; the other roles sit in the desks of
// other entries. It dispatches nothing: it tells the scheduler by its outputs
// and is told what became of what it granted. All its memory dies with the
// process, which is why a home refuses what may be older than itself.
#pragma once

#include <greengagedrum/base/answer.hpp>
#include <greengagedrum/base/ids.hpp>
#include <greengagedrum/base/time.hpp>
#include <greengagedrum/base/verdict.hpp>
#include <greengagedrum/config/fleet.hpp>
#include <greengagedrum/idempotency/claim_table.hpp>
#include <greengagedrum/idempotency/desk_options.hpp>
#include <greengagedrum/idempotency/held_records.hpp>
#include <greengagedrum/idempotency/home_lease.hpp>
#include <greengagedrum/idempotency/messages.hpp>
#include <greengagedrum/idempotency/requester_entry.hpp>
#include <greengagedrum/idempotency/retired_attempts.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

namespace greengagedrum::idempotency
{

// This process holds the grant: the request may be queued and dispatched.
struct granted {
    base::request_id request;
};

// The answer is being made elsewhere (or here, for an earlier request).
struct attached {
    base::request_id request;
};

// The whole answer, kept here or at the holder.
struct recalled {
    base::request_id request;
    base::answer_ptr whole;
};

// The request must end with this verdict.
struct refused {
    base::request_id request;
    base::verdict verdict;
};

struct send {
    base::slot_id to;
    message body;
};

using output = std::variant<granted, attached, recalled, refused, send>;

class desk
{
public:
    explicit desk(const desk_options& options);

    // ---- What the world says ---------------------------------------------

    // The published slots of every data centre, when they come into force.
    void set_homes(std::span<const config::data_centre> published,
                   base::instant now);

    // A peer's heartbeat. `as_of` is when, by the own clock, the beat was
    // sent that this one echoes: without an echo call `heard_of`, for a beat
    // can have waited in a buffer for any time.
    void heard(base::slot_id slot,
               base::incarnation life,
               base::instant as_of,
               base::instant now);

    // Some process said that this incarnation of the slot exists.
    void heard_of(base::slot_id slot, base::incarnation life);

    // A reading of the platform's list, asked for at `as_of`, names this
    // process in its slot. For lease_condition::platform_list only.
    void listed(base::instant as_of, base::instant now);

    void lost(base::slot_id slot);

    // The process noticed that it stood still for longer than its lease.
    void paused();

    // ---- Requests of this entry ------------------------------------------

    // A ticket of which this process is the home.
    ticket mint(base::instant now);

    // Asks for the right to dispatch. `home` is the workspace's home data
    // centre, used for keys. Called again for a request whose grant is void.
    void begin(base::request_id request,
               const claim_subject& subject,
               base::data_centre_id home,
               std::uint64_t body_digest,
               base::instant now,
               std::vector<output>& out);

    // Asked right before each first dispatch. A false means: begin again.
    bool may_dispatch(base::request_id request, base::instant now) const;

    // Told before the first byte is written to an upstream.
    void dispatched(base::request_id request);

    // The connect of its only dispatch was refused: nothing was written.
    void not_dispatched(base::request_id request);

    void answered(base::request_id request,
                  const base::answer_ptr& whole,
                  base::instant now,
                  std::vector<output>& out);

    // `not_run`: never handed over after all (a refused connect, say); the
    // claim passes on.
    void failed(base::request_id request,
                base::run_state run,
                base::instant now,
                std::vector<output>& out);

    // Its caller waits no longer (deadline, connection gone) and it was not
    // dispatched. Says what may be told to the caller.
    base::run_state give_up(base::request_id request,
                            base::instant now,
                            std::vector<output>& out);

    // ---- Peers and time --------------------------------------------------

    void on_message(base::slot_id sender,
                    base::incarnation life,
                    const message& what,
                    base::instant now,
                    std::vector<output>& out);

    void tick(base::instant now, std::vector<output>& out);
    std::optional<base::instant> next_wake() const;

    // ---- For metrics and status ------------------------------------------

    // The highest known incarnation of a slot; zero when none is known.
    base::incarnation life_of(base::slot_id slot) const;
    bool grants_keys(base::instant now) const { return this->lease.holds(now); }
    bool superseded() const { return this->lease.superseded(); }
    std::size_t claims() const { return this->table.size(); }
    std::size_t kept_bytes() const { return this->records.kept_bytes(); }

private:
    using entry_map = std::unordered_map<base::request_id, requester_entry>;

    void on(const claim_request& what);
    void on(const claim_reply& what);
    void on(const answer_request& what);
    void on(const answer_reply& what);
    void on(const claim_release& what);

    // Requester.
    void renew(base::request_id id);
    bool use_record(base::request_id id);
    void claim(base::request_id id);
    void ask_home(base::request_id id);
    void take_reply(base::request_id id, const claim_reply& reply);
    void take_grant(base::request_id id, const claim_reply& reply);
    void take_held(base::request_id id, const claim_reply& reply);
    void take_held_here(base::request_id id, std::uint64_t holder_attempt);
    void take_life(base::request_id id, const claim_reply& reply);
    void ask_holder(base::request_id id);
    void on_timer(base::request_id id);
    void end(base::request_id id, base::verdict verdict);
    void end_claim(base::request_id id, base::reason why);
    base::run_state withdraw(base::request_id id);
    void retire(const requester_entry& item);
    void release(std::uint64_t attempt);
    void new_attempt(base::request_id id);
    void claim_later(base::request_id id);
    void set_timer(base::request_id id, base::instant at);
    void clear_timer(base::request_id id);
    void erase(base::request_id id);
    bool too_old(const requester_entry& item) const;
    std::optional<base::slot_id> home_of(const claim_subject& subject,
                                         base::data_centre_id home) const;

    // Holder.
    void settle(const claim_subject& subject,
                held_state state,
                const base::answer_ptr& whole);
    void tell(const answer_request& asked, answer_reply& reply);
    void pass_on(const claim_subject& subject);

    // Home.
    claim_reply decide(const claim_request& asked);
    claim_result judge_key(const claim_request& asked) const;
    bool may_predate_memory(const caller_key& key) const;
    std::optional<base::instant> memory_start_of(const caller_key& key) const;
    void note_slots(const std::vector<base::slot_id>& before,
                    base::instant now);

    desk_options options;
    home_lease lease;
    claim_table table;
    held_records records;
    std::map<base::data_centre_id, std::vector<base::slot_id>> homes;
    // Slots of the own data centre before their last change; none when there
    // were two changes within the span.
    std::vector<base::slot_id> former_slots;
    std::optional<base::instant> slots_changed;
    std::map<base::slot_id, base::incarnation> lives; // highest known

    entry_map requests;
    std::unordered_map<std::uint64_t, base::request_id> attempts;
    retired_attempts retired;
    std::set<std::pair<base::instant, base::request_id>> timers;
    std::uint64_t next_attempt;
    base::instant last_cleaning;

    // Valid within a call.
    base::instant now;
    std::vector<output>* out = nullptr;
    base::slot_id sender;
    base::incarnation sender_life;
};

} // namespace greengagedrum::idempotency
