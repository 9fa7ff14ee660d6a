// The exchange of all crash suspects with an entry that does not know them.
#include <greengagedrum/entry/peer_protocol.hpp>
#include <greengagedrum/entry/to_milliseconds.hpp>

#include <algorithm>

namespace greengagedrum::entry
{

namespace
{

// Messages in answer to one query; the peer asks for the rest.
constexpr std::uint32_t pages_per_answer = 8;

} // namespace

// Failure guarded against: an entry starts while requests come that its peers
// have quarantined, is ready at once, and sends them until the records have
// reached it, which takes several messages.
void peer_protocol::begin_suspect_inquiry(base::instant now)
{
    this->inquiry.begin(now);
    this->state.scheduler.set_quarantine_known(false);
    const auto peers = this->peers_to_ask(now);
    if (peers.live.empty() && peers.silent.empty())
        this->advance_suspect_inquiry(now);
}

quarantine::suspect_inquiry::peers
peer_protocol::peers_to_ask(base::instant now) const
{
    auto known = this->table.by_liveness(now);
    const auto is_far = [this](gossip::ipv4_address one) {
        return this->election.is_in_other_region(one);
    };
    // An entry of the own region answers as well, and spares the shared link.
    if (!std::all_of(known.live.begin(), known.live.end(), is_far)) {
        std::erase_if(known.live, is_far);
        std::erase_if(known.silent, is_far);
    }
    return {std::move(known.live), std::move(known.silent)};
}

void peer_protocol::advance_suspect_inquiry(base::instant now)
{
    if (!this->inquiry.pending())
        return;
    const auto peers = this->peers_to_ask(now);
    const auto result = this->inquiry.take_result(peers, now);
    if (!result) {
        for (const auto& one : this->inquiry.take_due(peers, now))
            this->send_suspect_query(one);
        return;
    }
    this->state.scheduler.set_quarantine_known(true);
    this->state.log.write(
        now,
        "quarantine",
        "quarantine_known",
        {{"why", to_string(*result)},
         {"after_ms", to_milliseconds(this->inquiry.elapsed(now))},
         {"records", this->state.scheduler.crash_suspects().size()}});
    if (this->state.scheduler.waiting() > 0)
        this->events.peer_load_changed();
}

void peer_protocol::send_suspect_query(
    const quarantine::suspect_inquiry::question& sent)
{
    gossip::message out =
        this->make_message(gossip::message_kind::suspect_query);
    out.suspect_query = sent.query;
    this->send_datagram(gossip::encode(out), sent.peer);
}

void peer_protocol::answer_suspect_query(const gossip::message& received,
                                         base::instant now)
{
    quarantine::suspect_page page;
    page.last = received.suspect_query.after;
    page.uninformed = this->inquiry.pending();
    for (std::uint32_t left = pages_per_answer; left > 0 && !page.complete;
         --left) {
        gossip::message out = this->make_answer(
            gossip::message_kind::suspect_page, received.incarnation);
        page.pages_to_come = left - 1;
        if (!page.uninformed)
            out.suspects = this->state.scheduler.crash_suspects().collect_page(
                page.last, now, page);
        out.suspect_page = page;
        this->send_datagram(gossip::encode(out), received.address);
        if (page.uninformed)
            return;
    }
}

void peer_protocol::on_suspect_page(const gossip::message& received,
                                    base::instant now)
{
    const auto next =
        this->inquiry.on_page(received.address, received.suspect_page, now);
    if (next)
        this->send_suspect_query(*next);
    this->advance_suspect_inquiry(now);
}

} // namespace greengagedrum::entry
