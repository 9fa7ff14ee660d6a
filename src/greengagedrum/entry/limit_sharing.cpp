// Permits for upstreams that announce a rate limit, between entries.
#include <greengagedrum/entry/peer_protocol.hpp>

#include <utility>

namespace greengagedrum::entry
{

void peer_protocol::state_limit_needs(gossip::message& sent, base::instant now)
{
    traffic::scheduler& scheduler = this->state.scheduler;
    sent.limit_needs = scheduler.limit_needs(now);
    if (!sent.limit_needs.empty())
        scheduler.limit_permits().on_need_sent(sent.sequence, now);
}

// Messages to another region take too long for permits to be of use there. An
// entry of an earlier build states no needs.
void peer_protocol::answer_limit_needs(const gossip::message& received,
                                       base::instant now)
{
    if (received.limit_needs.empty() ||
        this->election.uses_region_interval(received.address))
        return;
    traffic::limit_grant grant;
    grant.permits = this->state.scheduler.give_permits(
        received.limit_needs, received.sequence, now);
    if (grant.permits.empty())
        return;
    grant.receiver = received.incarnation;
    grant.need_number = received.sequence;
    gossip::message out = this->make_answer(
        gossip::message_kind::dispatcher_query_reply, received.incarnation);
    out.limit_grant = std::move(grant);
    this->send_datagram(gossip::encode(out), received.address);
}

void peer_protocol::accept_limit_grant(const gossip::message& received,
                                       base::instant now)
{
    if (received.limit_grant.permits.empty() || this->state.delegating)
        return;
    const bool added = this->state.scheduler.limit_permits().accept(
        base::slot_id(received.instance),
        received.limit_grant,
        this->incarnation,
        now);
    if (added && this->state.scheduler.waiting() > 0)
        this->events.peer_load_changed();
}

} // namespace greengagedrum::entry
