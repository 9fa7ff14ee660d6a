// At a dispatcher: the requests of its members, between their reports and the
// decisions here.
//
// A member's send is one request to the scheduler here, under an id of its own.
// All of this is rebuilt from the members' next reports, so a dispatcher may
// die at any moment: its successor hears of every send that waits or runs.
#pragma once

#include <greengagedrum/dispatch/messages.hpp>
#include <greengagedrum/traffic/messages.hpp>
#include <greengagedrum/traffic/upstream_pool.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace greengagedrum::dispatch
{

// A cost that a limit holds, or held, for a member's request.
struct limit_charge {
    base::workspace_id workspace;
    double amount = 0;
};

// What one report means here.
struct request_changes {
    std::vector<traffic::event> events; // in order, of known sends
    // Sends that are new: to be let through by the limit, and then told as
    // arrived.
    std::vector<std::pair<base::request_id, slot_request>> new_requests;
    std::vector<limit_charge> refunds; // of sends that got no place
    std::vector<traffic::upstream_load>
        loads_dispatched_elsewhere; // placed by nobody here
};

class member_request_table
{
public:
    // Ids given by the book differ from those of own requests.
    static bool is_member_request(base::request_id id);

    request_changes on_report(base::slot_id member,
                              base::incarnation incarnation,
                              const member_report& received,
                              std::span<const traffic::upstream_load> loads);

    // The member has died or was cut off: what it wanted is nobody's.
    request_changes remove_member(base::slot_id member);
    // Another entry places from now on.
    request_changes remove_all_members();

    // The send got a place. What is to be counted against its limit; empty when
    // it was counted before, or is no longer wanted.
    std::optional<limit_charge> on_granted(const traffic::send_request& order);

    // The send got none. What the limit is to give back; empty when it had a
    // place, or is no longer wanted.
    std::optional<limit_charge> on_denied(base::request_id id,
                                          const base::verdict& verdict);

    // The send was to have a place and has none: asked for again, it is a new
    // one. What the limit is to give back, as above.
    std::optional<limit_charge> forget_send(base::request_id id);

    // Members that have not been told what was decided, or have not shown that
    // they were.
    std::vector<base::slot_id> members_to_answer(base::instant now) const;
    // For that member now; all of it that the member has not shown to have.
    dispatcher_reply build_reply(base::slot_id member, base::instant now);

    std::size_t member_count() const { return this->members_by_id.size(); }

private:
    struct send_state {
        base::slot_id member;
        send_id id;
        limit_charge charge;
        bool charged = false;
        std::optional<slot_grant> grant;
        std::optional<slot_denial> denial;
        bool running = false;          // the member shows that it was sent
        std::uint64_t last_report = 0; // the report that named it last
    };

    struct member_state {
        base::incarnation incarnation;
        std::uint64_t report_count = 0;
        std::uint64_t acked_report = 0;
        std::uint64_t acked_status = 0;
        bool reply_due = false;
        base::instant replied_at;
        std::map<send_id, base::request_id> sends;
    };

    void apply_status(member_state& member,
                      const send_status_update& update,
                      request_changes& out);
    void apply_slot_request(base::slot_id id,
                            member_state& member,
                            const slot_request& request,
                            request_changes& out);
    bool has_unacknowledged_decision(const member_state& member) const;
    void end_send(base::request_id id, request_changes& out);
    void end_unlisted_sends(member_state& member, request_changes& out);

    std::unordered_map<base::slot_id, member_state> members_by_id;
    std::unordered_map<std::uint64_t, send_state> sends;
    std::uint64_t next_request_number = 1;
};

} // namespace greengagedrum::dispatch
