// A dispatcher's table of its members' requests, between the members' reports
// and the scheduler that dispatches them.
//
// Each send of a member is a request of its own to the dispatcher's scheduler,
// under an id from this table. The members' next reports rebuild the whole
// table, so a dispatcher may die at any moment: its successor learns of every
// send that waits or runs.
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

// What a member's request is charged against its workspace's limit.
struct limit_charge {
    base::workspace_id workspace;
    double amount = 0;
};

// What follows from a report, or from the loss of a member, for the dispatcher.
struct request_changes {
    std::vector<traffic::event> events; // of known sends, in order
    // New sends: to be admitted by the limit, and then passed to the scheduler
    // as arrived.
    std::vector<std::pair<base::request_id, slot_request>> new_requests;
    std::vector<limit_charge> refunds; // of sends that got no slot
    // Load of sends that this dispatcher did not dispatch.
    std::vector<traffic::upstream_load> loads_dispatched_elsewhere;
};

class member_request_table
{
public:
    // Whether the id was given by this table. Ids of the entry's own requests
    // differ.
    static bool is_member_request(base::request_id id);

    // Applies a report. If the incarnation is new, the requests of the one
    // before end first. `loads` are the loads that the member sees at
    // upstreams.
    request_changes on_report(base::slot_id member,
                              base::incarnation incarnation,
                              const member_report& received,
                              std::span<const traffic::upstream_load> loads);

    // The member has died or is partitioned: its requests end here.
    request_changes remove_member(base::slot_id member);
    // Another entry is the dispatcher from now on.
    request_changes remove_all_members();

    // The send got a slot. Returns the charge to its limit; empty if it was
    // charged before or is no longer wanted.
    std::optional<limit_charge> on_granted(const traffic::send_request& order);

    // The send was denied a slot. Returns the charge to refund; empty if it was
    // charged before, got a slot earlier or is no longer wanted.
    std::optional<limit_charge> on_denied(base::request_id id,
                                          const base::verdict& verdict);

    // A send that was to get a slot and did not. If asked for again it counts
    // as a new one. Returns the charge to refund, as above.
    std::optional<limit_charge> forget_send(base::request_id id);

    // Members that are due a reply: there is something new, or they have not
    // shown within the resend interval that they know of a decision.
    std::vector<base::slot_id> members_to_answer(base::instant now) const;
    // The reply to that member: all decisions that its reports do not show yet.
    dispatcher_reply build_reply(base::slot_id member, base::instant now);

    // The member that sends it; empty id: the request has ended.
    base::slot_id member_of(base::request_id id) const;

    std::size_t member_count() const { return this->members_by_id.size(); }

private:
    struct send_state {
        base::slot_id member;
        send_id id;
        limit_charge charge;
        bool charged = false;
        std::optional<slot_grant> grant;
        std::optional<slot_denial> denial;
        bool running = false; // its member reports it as sent
        // Whether its member has not shown yet that it knows of the decision.
        bool is_unacknowledged() const
        {
            return this->denial || (this->grant && !this->running);
        }
        // Count of the last report that listed it.
        std::uint64_t last_report = 0;
    };

    struct member_state {
        base::incarnation incarnation;
        std::uint64_t report_count = 0;
        std::uint64_t acked_report = 0;
        std::uint64_t acked_status = 0;
        bool reply_due = false;
        base::instant replied_at;
        std::size_t unacknowledged = 0; // decisions
        std::map<send_id, base::request_id> sends;
    };

    void apply_status(member_state& member,
                      const send_status_update& update,
                      request_changes& out);
    void apply_slot_request(base::slot_id id,
                            member_state& member,
                            const slot_request& request,
                            request_changes& out);
    // Applies a change to a send, and counts its member's decisions.
    template <class Change>
    void change_send(send_state& send, const Change& apply);
    void erase_send(std::uint64_t id);
    void end_send(base::request_id id, request_changes& out);
    void end_unlisted_sends(member_state& member, request_changes& out);

    std::unordered_map<base::slot_id, member_state> members_by_id;
    std::unordered_map<std::uint64_t, send_state> sends;
    std::uint64_t next_request_number = 1;
};

} // namespace greengagedrum::dispatch
