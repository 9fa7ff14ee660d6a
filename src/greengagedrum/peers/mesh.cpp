#include <greengagedrum/peers/mesh.hpp>
#include <greengagedrum/peers/tcp.hpp>

#include <poll.h>
#include <sys/eventfd.h>

#include <algorithm>
#include <utility>

namespace greengagedrum::peers
{

mesh::mesh(mesh_settings given, mesh_events told)
    : settings(std::move(given)), events(std::move(told)),
      waker(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)),
      generator(this->settings.seed)
{
    this->settings.links.clock = this->settings.clock;
}

mesh::~mesh() = default;

bool mesh::start(std::string_view address)
{
    this->listener = listen_at(address);
    return static_cast<bool>(this->listener);
}

std::string mesh::address() const
{
    return local_address(this->listener);
}

void mesh::set_wanted(const std::vector<peer_target>& targets)
{
    const base::instant now = this->settings.clock();
    std::map<base::slot_id, target> next;
    for (const peer_target& peer : targets) {
        if (peer.slot == this->settings.links.own.slot)
            continue;
        const auto known = this->wanted.find(peer.slot);
        if (known != this->wanted.end() &&
            known->second.address == peer.address) {
            next.insert(*known);
            continue;
        }
        const bool first =
            peer.at_once || this->settings.links.own.slot < peer.slot;
        const base::duration grace =
            first ? base::duration::zero() : this->settings.other_dials;
        next[peer.slot] = target{peer.address, now + grace, 0};
    }
    this->wanted = std::move(next);
    for (const auto& one : this->links)
        if (one->dialled() && !this->wanted.contains(one->dialled_slot()))
            one->close(close_cause::unwanted);
    this->remove_closed();
}

void mesh::set_interval(std::chrono::milliseconds interval)
{
    this->settings.links.interval =
        static_cast<std::uint16_t>(interval.count());
}

bool mesh::deliver_to(link& one, const payload& body, const shared_bytes& bytes)
{
    if (!std::holds_alternative<membership::heartbeat>(body))
        return one.queue(bytes);
    one.put_control(bytes);
    return true;
}

bool mesh::send(base::slot_id to, const payload& body)
{
    const auto found = this->in_use.find(to);
    if (found == this->in_use.end())
        return false;
    const auto bytes = std::make_shared<const std::string>(
        encode(body, this->settings.links.own));
    return this->deliver_to(*found->second, body, bytes);
}

void mesh::broadcast(const payload& body)
{
    const auto bytes = std::make_shared<const std::string>(
        encode(body, this->settings.links.own));
    for (const auto& [slot, one] : this->in_use)
        this->deliver_to(*one, body, bytes);
}

void mesh::send_all(std::span<const base::slot_id> to, const payload& body)
{
    const auto bytes = std::make_shared<const std::string>(
        encode(body, this->settings.links.own));
    for (const base::slot_id slot : to) {
        const auto found = this->in_use.find(slot);
        if (found != this->in_use.end())
            this->deliver_to(*found->second, body, bytes);
    }
}

void mesh::close_all()
{
    for (const auto& one : this->links)
        one->close(close_cause::unwanted);
    this->remove_closed();
    for (auto& [slot, to] : this->wanted)
        to = target{to.address, this->settings.clock(), 0};
}

void mesh::wake()
{
    const std::uint64_t one = 1;
    [[maybe_unused]] const auto done =
        ::write(this->waker.get(), &one, sizeof(one));
}

void mesh::poll_once(base::duration wait)
{
    this->dial_due(this->settings.clock());
    this->flush_all();
    std::vector<pollfd> polled;
    polled.reserve(this->links.size() + 2);
    polled.push_back({this->waker.get(), POLLIN, 0});
    polled.push_back({this->listener.get(), POLLIN, 0});
    for (const auto& one : this->links)
        polled.push_back({one->number(), one->interest(), 0});
    const auto patience =
        std::chrono::ceil<std::chrono::milliseconds>(this->patience(wait));
    ::poll(polled.data(), polled.size(), static_cast<int>(patience.count()));
    if (polled[0].revents != 0) {
        std::uint64_t count = 0;
        [[maybe_unused]] const auto got =
            ::read(this->waker.get(), &count, sizeof(count));
    }
    // Links made from here on are at the end and were not polled.
    const std::size_t known = this->links.size();
    for (std::size_t at = 0; at < known; ++at)
        this->serve(*this->links[at], polled[at + 2].revents);
    if (polled[1].revents != 0)
        this->accept_all();
    this->flush_all();
    this->remove_closed();
}

// Until the next thing that is due, at most `wait`.
base::duration mesh::patience(base::duration wait) const
{
    const base::instant now = this->settings.clock();
    base::instant next = now + wait;
    for (const auto& one : this->links)
        next = std::min(next, one->due());
    for (const auto& [slot, to] : this->wanted)
        if (!this->linked(slot) && !this->dialling(slot))
            next = std::min(next, to.next_dial);
    return std::max(next - now, base::duration::zero());
}

void mesh::serve(link& one, short found)
{
    const base::instant now = this->settings.clock();
    std::vector<received_payload> received;
    const link_state before = one.state();
    if (found != 0)
        one.handle(found, now, received);
    const bool proved = before != link_state::up &&
                        (one.state() == link_state::up || !received.empty());
    if (proved)
        this->came_up(one);
    this->deliver(one, received);
    one.check(now);
}

void mesh::deliver(link& one, std::vector<received_payload>& received)
{
    for (const received_payload& got : received) {
        const auto found = this->in_use.find(one.peer().slot);
        if (found == this->in_use.end() || found->second != &one)
            return;
        auto body = decode(got.bytes, one.peer());
        if (body) {
            this->events.received({one.peer().slot,
                                   one.peer().life,
                                   std::move(*body),
                                   got.answers});
            continue;
        }
        if (body.error() == decode_fault::unknown) {
            ++this->counted[one.peer().slot].unknown;
            continue;
        }
        one.close(close_cause::bad_payload);
        return;
    }
}

// Two links of one pair: each end must keep the same one. What the lower slot
// dialled stays; among links dialled by one end the latest, which replaces a
// connection that this end has not yet found dead.
bool mesh::preferred(const link& fresh, const link& old) const
{
    if (fresh.peer().life != old.peer().life)
        return fresh.peer().life > old.peer().life;
    if (fresh.dialled() == old.dialled())
        return true;
    const bool we_are_lower = this->settings.links.own.slot < fresh.peer().slot;
    return fresh.dialled() == we_are_lower;
}

void mesh::came_up(link& one)
{
    if (one.told_life() > this->settings.links.own.life)
        this->events.outranked(one.told_life());
    const auto& known_life = this->settings.links.known_life;
    if (known_life && one.peer().life < known_life(one.peer().slot)) {
        one.close(close_cause::outranked);
        return;
    }
    const auto found = this->in_use.find(one.peer().slot);
    if (found != this->in_use.end()) {
        link& old = *found->second;
        if (!this->preferred(one, old)) {
            const bool older_life = one.peer().life < old.peer().life;
            one.close(older_life ? close_cause::outranked
                                 : close_cause::replaced);
            return;
        }
        old.close(close_cause::replaced);
    }
    this->in_use[one.peer().slot] = &one;
    ++this->counted[one.peer().slot].links;
    const auto to = this->wanted.find(one.peer().slot);
    if (to != this->wanted.end())
        to->second.failures = 0;
    this->events.link_up(one.peer());
}

void mesh::flush_all()
{
    for (const auto& one : this->links)
        if (one->state() != link_state::connecting &&
            (one->interest() & POLLOUT) != 0)
            one->flush();
}

bool mesh::linked(base::slot_id slot) const
{
    return this->in_use.contains(slot);
}

std::vector<sender_identity> mesh::linked_peers() const
{
    std::vector<sender_identity> out;
    for (const auto& [slot, one] : this->in_use)
        out.push_back(one->peer());
    return out;
}

std::map<base::slot_id, peer_counters> mesh::counters() const
{
    auto out = this->counted;
    for (const auto& one : this->links)
        if (one->counters().frames_in > 0)
            out[one->peer().slot].traffic.add(one->counters());
    return out;
}

} // namespace greengagedrum::peers
