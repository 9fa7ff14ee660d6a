// What peers say, and where it goes.
#include <greengagedrum/daemon/clock.hpp>
#include <greengagedrum/daemon/config_thread.hpp>
#include <greengagedrum/daemon/peer_duty.hpp>
#include <greengagedrum/logs/write.hpp>

#include <utility>

namespace greengagedrum::daemon
{

namespace
{
constexpr base::duration pull_gap(250'000); // between document requests
} // namespace

void peer_duty::receive(peers::message&& got)
{
    std::visit([&](auto& body) { this->on(got, body); }, got.body);
}

void peer_duty::on(const peers::message& from, membership::heartbeat& beat)
{
    const bool own = beat.slot == from.sender && beat.incarnation == from.life;
    if (!own || !this->roster.receive_heartbeat(beat, clock_now()))
        return;
    this->is_paused = this->roster.paused();
    if (beat.config_revision > this->documents.revision() ||
        beat.platform == base::platform_reachability::unreachable)
        this->next_publish = {}; // now: a spreader waits for it
    this->pull(from.sender, beat.config_revision);
    this->push_or_drop(delivery::peer_heartbeat{std::move(beat), from.answers});
}

void peer_duty::on(const peers::message&, membership::instance_list& list)
{
    this->adopt(std::move(list));
}

void peer_duty::on(const peers::message& from, capacity::load_digest& digest)
{
    this->push_or_drop(
        delivery::peer_load{from.sender, from.life, std::move(digest)});
}

void peer_duty::on(const peers::message& from,
                   config::document_request& request)
{
    const auto set = this->documents.read([&](const config::store& store) {
        return store.newer_than(request.since);
    });
    if (!this->links.send(from.sender, set))
        logs::write(logs::level::warning,
                    "peers",
                    "documents_unsent",
                    {{"slot", from.sender.value}});
}

void peer_duty::on(const peers::message& from, config::document_set& set)
{
    if (!this->documents.offer(std::move(set)))
        return;
    this->is_consulted = true;
    if (this->options.documents_came)
        this->options.documents_came(from.sender);
}

template <class Claim>
void peer_duty::on(const peers::message& from, Claim& claim)
{
    this->on_demand.used(from.sender, clock_now());
    this->push_or_drop(
        delivery::claim_message{from.sender, from.life, std::move(claim)});
}

void peer_duty::pull(base::slot_id slot, std::uint64_t revision)
{
    const base::instant now = clock_now();
    const std::uint64_t held = this->documents.revision();
    if (revision <= held)
        this->is_consulted = true;
    if (!this->options.pull_documents || revision <= held ||
        now < this->next_pull)
        return;
    this->next_pull = now + pull_gap;
    this->links.send(slot, config::document_request{held});
}

void peer_duty::push_or_drop(delivery::event&& what)
{
    if (!this->events.push(callers::inbox_item(std::move(what))))
        ++this->events_dropped;
}

} // namespace greengagedrum::daemon
