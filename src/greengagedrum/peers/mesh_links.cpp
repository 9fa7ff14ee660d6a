// How links of the mesh begin and end: accepting, dialling, and what a link
// that closed leaves behind.
#include <greengagedrum/peers/mesh.hpp>
#include <greengagedrum/peers/tcp.hpp>

#include <openssl/rand.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace greengagedrum::peers
{

namespace
{

bool is_bad(close_cause why)
{
    return why == close_cause::bad_frame || why == close_cause::bad_payload ||
           why == close_cause::bad_hello || why == close_cause::wrong_peer;
}

} // namespace

// A closed link is taken out before the event tells of it, so that the event
// may use the mesh.
void mesh::remove_closed()
{
    const auto first_closed = std::stable_partition(
        this->links.begin(), this->links.end(), [](const auto& one) {
            return one->state() != link_state::closed;
        });
    link_list closed(std::make_move_iterator(first_closed),
                     std::make_move_iterator(this->links.end()));
    this->links.erase(first_closed, this->links.end());
    for (const auto& one : closed)
        this->note_closed(*one);
}

void mesh::note_closed(const link& one)
{
    const base::instant now = this->settings.clock();
    const bool proved = one.counters().frames_in > 0;
    if (!proved && is_bad(one.cause()))
        ++this->refused;
    if (one.dialled())
        this->retry_later(one.dialled_slot(), now);
    if (!proved)
        return;
    peer_counters& sums = this->counted[one.peer().slot];
    sums.traffic.add(one.counters());
    if (is_bad(one.cause()))
        ++sums.bad_frames;
    if (one.cause() == close_cause::silent)
        ++sums.silent;
    const auto found = this->in_use.find(one.peer().slot);
    if (found == this->in_use.end() || found->second != &one)
        return;
    this->in_use.erase(found);
    const auto to = this->wanted.find(one.peer().slot);
    if (to != this->wanted.end() && !one.dialled())
        to->second.next_dial = now + this->settings.other_dials;
    this->events.link_down(one.peer().slot);
}

// Backoff with jitter, so that after a cut all peers don't come at one moment.
void mesh::retry_later(base::slot_id slot, base::instant now)
{
    const auto to = this->wanted.find(slot);
    if (to == this->wanted.end())
        return;
    constexpr std::uint32_t doublings_max = 10;
    const auto doublings = std::min(to->second.failures++, doublings_max);
    const base::duration full =
        std::min(this->settings.backoff_min * (1 << doublings),
                 this->settings.backoff_max);
    std::uniform_int_distribution<base::duration::rep> jitter(full.count() / 2,
                                                              full.count());
    to->second.next_dial = now + base::duration(jitter(this->generator));
}

void mesh::accept_all()
{
    while (descriptor one = accept_from(this->listener)) {
        if (this->strangers() >= this->settings.strangers_max) {
            ++this->refused;
            continue;
        }
        this->links.push_back(std::make_unique<link>(std::move(one),
                                                     base::slot_id(),
                                                     this->draw_nonce(),
                                                     this->settings.links,
                                                     this->settings.clock()));
    }
}

std::size_t mesh::strangers() const
{
    const auto count = std::count_if(
        this->links.begin(), this->links.end(), [](const auto& one) {
            return !one->dialled() && one->state() != link_state::up;
        });
    return static_cast<std::size_t>(count);
}

bool mesh::dialling(base::slot_id slot) const
{
    return std::any_of(
        this->links.begin(), this->links.end(), [slot](const auto& one) {
            return one->dialled_slot() == slot &&
                   one->state() != link_state::closed;
        });
}

void mesh::dial_due(base::instant now)
{
    for (auto& [slot, to] : this->wanted)
        if (now >= to.next_dial && !this->linked(slot) && !this->dialling(slot))
            this->dial(slot, to, now);
}

void mesh::dial(base::slot_id slot, target& to, base::instant now)
{
    ++this->counted[slot].dials;
    descriptor begun = begin_connect(to.address);
    if (!begun) {
        this->retry_later(slot, now);
        return;
    }
    this->links.push_back(std::make_unique<link>(
        std::move(begun), slot, this->draw_nonce(), this->settings.links, now));
}

link_nonce mesh::draw_nonce() const
{
    link_nonce out{};
    RAND_bytes(reinterpret_cast<unsigned char*>(out.data()), nonce_bytes);
    return out;
}

} // namespace greengagedrum::peers
