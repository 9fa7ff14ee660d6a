#include <greengagedrum/membership/roster.hpp>

#include <algorithm>
#include <utility>

namespace greengagedrum::membership
{

namespace
{

// An entry with a new list first gives the other entries time to receive it
// from the platform, then forwards it to those that have an older one. Lower
// ranks forward earlier, so that most entries have nothing left to forward. The
// total delay stays below 2 s.
constexpr base::duration list_forward_delay(100'000);
constexpr base::duration list_forward_delay_per_rank(50'000);
constexpr std::size_t list_forward_rank_max = 18;

// A known incarnation is repeated in every fourth heartbeat only, to stay
// within the byte budget (send_intervals.hpp).
constexpr std::uint64_t heartbeats_per_repeat = 4;

} // namespace

roster::roster(const roster_options& given) : options(given)
{
    this->incarnations.learn(given.slot, given.incarnation);
}

// Guards against a process that was stopped for a while and, once resumed,
// takes its stale knowledge for current. A pause shows as a gap between two
// readings of the monotonic clock. In a running process the gap is one tick.
void roster::detect_pause(base::instant now)
{
    const auto previous = std::exchange(this->last_clock_reading, now);
    if (previous && now - *previous > this->options.lease)
        this->enter_pause(now);
}

// The silence of peers during a pause of this process says nothing about them,
// so it is counted from now on. No link counts as open until it is opened
// again, since the old ones hold bytes that arrived during the pause.
void roster::enter_pause(base::instant now)
{
    this->is_paused = true;
    this->resumed_at = now;
    ++this->pauses;
    for (auto& [slot, peer] : this->peers_by_slot) {
        peer.linked = false;
        if (peer.state != peer_state::gone && peer.silent_since)
            peer.silent_since = now;
    }
}

void roster::on_platform_response(base::instant asked)
{
    const bool no_peer_listed =
        std::none_of(this->peers_by_slot.begin(),
                     this->peers_by_slot.end(),
                     [](const auto& item) { return item.second.listed; });
    if (this->is_paused && no_peer_listed && asked > this->resumed_at)
        this->is_paused = false;
}

bool roster::update_list(instance_list list, base::instant now)
{
    this->detect_pause(now);
    if (list.revision <= this->current_list.revision)
        return false;
    this->current_list = std::move(list);
    this->own_listed = false;
    for (auto& [slot, peer] : this->peers_by_slot)
        peer.listed = peer.listed_leaving = false;
    for (const listed_instance& instance : this->current_list.instances) {
        if (instance.type != instance_type::entry)
            continue;
        const base::slot_id slot(instance.name);
        if (slot == this->options.slot) {
            this->own_listed = true;
            continue;
        }
        peer_record& peer = this->peers_by_slot[slot];
        peer.data_centre = base::data_centre_id(instance.data_centre);
        peer.listed = true;
        peer.listed_leaving = instance.state == listed_state::leaving;
    }
    const std::size_t own_rank = std::min(
        this->rank().value_or(list_forward_rank_max), list_forward_rank_max);
    this->list_forward_due = now + list_forward_delay +
                             list_forward_delay_per_rank *
                                 static_cast<base::duration::rep>(own_rank);
    this->tick(now);
    return true;
}

bool roster::receive_heartbeat(const heartbeat& received, base::instant now)
{
    this->detect_pause(now);
    if (received.slot == this->options.slot || received.slot.empty())
        return false;
    for (const heartbeat::known_incarnation& reported :
         received.known_incarnations)
        this->learn_incarnation(reported.slot, reported.incarnation);
    this->incarnations.learn(received.slot, received.incarnation);
    if (received.incarnation < this->incarnations.highest(received.slot))
        return false;
    peer_record& peer = this->peers_by_slot[received.slot];
    const bool same_incarnation = received.incarnation == peer.incarnation;
    if (same_incarnation && received.sequence <= peer.sequence)
        return false;
    if (!same_incarnation)
        peer.list_revision_sent = 0;
    peer.incarnation = received.incarnation;
    peer.sequence = received.sequence;
    peer.announced_leaving = received.leaving;
    peer.config_revision = received.config_revision;
    peer.list_revision = received.list_revision;
    peer.platform = received.platform;
    // Unless the link was opened after the pause, the heartbeat may have been
    // sent before the pause ended.
    if (this->is_paused && !peer.linked)
        return false;
    this->is_paused = false;
    peer.last_heartbeat = now;
    peer.silent_since = now;
    this->update_state(received.slot, peer, now);
    return true;
}

void roster::learn_incarnation(base::slot_id slot,
                               base::incarnation incarnation)
{
    this->incarnations.learn(slot, incarnation);
}

void roster::link_up(base::slot_id slot,
                     base::incarnation incarnation,
                     base::instant now)
{
    this->detect_pause(now);
    this->learn_incarnation(slot, incarnation);
    peer_record& peer = this->peers_by_slot[slot];
    peer.linked = true;
    this->update_state(slot, peer, now);
}

void roster::link_down(base::slot_id slot, base::instant now)
{
    this->detect_pause(now);
    const auto found = this->peers_by_slot.find(slot);
    if (found == this->peers_by_slot.end())
        return;
    found->second.linked = false;
    this->update_state(slot, found->second, now);
}

void roster::tick(base::instant now)
{
    this->detect_pause(now);
    for (auto& [slot, peer] : this->peers_by_slot)
        this->update_state(slot, peer, now);
    std::erase_if(this->peers_by_slot, [](const auto& item) {
        const peer_record& peer = item.second;
        const bool absent = peer.state == peer_state::gone ||
                            peer.state == peer_state::never_heard;
        return !peer.listed && !peer.linked && absent;
    });
}

peer_state roster::state_of(const peer_record& peer, base::instant now) const
{
    if (!peer.silent_since)
        return peer_state::never_heard;
    const base::duration silence = now - *peer.silent_since;
    const bool leaving = peer.announced_leaving || peer.listed_leaving;
    if (silence > this->options.gone_after)
        return peer_state::gone;
    const bool silent = !peer.linked || silence > this->options.suspect_after;
    if (silent)
        return peer.announced_leaving ? peer_state::gone : peer_state::suspect;
    return leaving ? peer_state::leaving : peer_state::alive;
}

void roster::update_state(base::slot_id slot,
                          peer_record& peer,
                          base::instant now)
{
    const peer_state next = this->state_of(peer, now);
    if (next == peer.state)
        return;
    peer.state = next;
    this->changes.push_back({slot, next});
}

heartbeat roster::next_message(std::uint64_t config_revision,
                               base::platform_reachability platform)
{
    heartbeat out;
    out.slot = this->options.slot;
    out.incarnation = this->options.incarnation;
    out.sequence = ++this->sequence;
    out.leaving = this->is_leaving;
    out.config_revision = config_revision;
    out.list_revision = this->current_list.revision;
    out.platform = platform;
    out.known_incarnations = this->incarnations.next_to_send(
        out.sequence % heartbeats_per_repeat == 0);
    return out;
}

bool roster::superseded() const
{
    return this->incarnations.highest(this->options.slot) >
           this->options.incarnation;
}

base::incarnation roster::highest_incarnation(base::slot_id slot) const
{
    return this->incarnations.highest(slot);
}

base::data_centre_id roster::data_centre_of(base::slot_id slot) const
{
    const auto found = this->peers_by_slot.find(slot);
    return found == this->peers_by_slot.end() ? base::data_centre_id()
                                              : found->second.data_centre;
}

std::vector<link_target> roster::links_wanted() const
{
    return choose_links(this->current_list,
                        this->options.slot,
                        this->options.data_centre,
                        [this](base::slot_id slot) {
                            const auto found = this->peers_by_slot.find(slot);
                            return found == this->peers_by_slot.end() ||
                                   found->second.state != peer_state::gone;
                        });
}

send_intervals roster::current_intervals() const
{
    std::size_t links = 0;
    std::size_t local_links = 0;
    for (const auto& [slot, peer] : this->peers_by_slot) {
        links += peer.linked ? 1 : 0;
        const bool local = peer.data_centre == this->options.data_centre;
        local_links += peer.linked && local ? 1 : 0;
    }
    return send_intervals_for(links, local_links);
}

bool roster::is_live_and_local(const peer_record& peer) const
{
    return peer.listed && peer.state == peer_state::alive &&
           peer.data_centre == this->options.data_centre;
}

std::optional<std::size_t> roster::rank() const
{
    if (this->is_leaving || this->superseded() || !this->own_listed)
        return std::nullopt;
    std::size_t live_below = 0;
    for (const auto& [slot, peer] : this->peers_by_slot)
        if (slot < this->options.slot && this->is_live_and_local(peer))
            ++live_below;
    return live_below;
}

std::size_t roster::alive_count() const
{
    const auto others =
        std::count_if(this->peers_by_slot.begin(),
                      this->peers_by_slot.end(),
                      [this](const auto& item) {
                          return this->is_live_and_local(item.second);
                      });
    return 1 + static_cast<std::size_t>(others);
}

std::size_t roster::listed_peer_count() const
{
    const auto count = std::count_if(this->peers_by_slot.begin(),
                                     this->peers_by_slot.end(),
                                     [this](const auto& item) {
                                         return item.second.listed &&
                                                item.second.data_centre ==
                                                    this->options.data_centre;
                                     });
    return static_cast<std::size_t>(count);
}

std::size_t roster::heard_peer_count(base::instant since) const
{
    const auto count = std::count_if(this->peers_by_slot.begin(),
                                     this->peers_by_slot.end(),
                                     [&](const auto& item) {
                                         const peer_record& peer = item.second;
                                         return peer.listed &&
                                                peer.data_centre ==
                                                    this->options.data_centre &&
                                                peer.last_heartbeat &&
                                                *peer.last_heartbeat >= since;
                                     });
    return static_cast<std::size_t>(count);
}

bool roster::data_centre_silent(base::data_centre_id data_centre) const
{
    bool heard_once = false;
    for (const auto& [slot, peer] : this->peers_by_slot) {
        if (peer.data_centre != data_centre || !peer.last_heartbeat)
            continue;
        heard_once = true;
        const bool silent =
            peer.state == peer_state::suspect || peer.state == peer_state::gone;
        if (!silent)
            return false;
    }
    return heard_once;
}

std::vector<base::slot_id> roster::list_receivers(base::instant now)
{
    std::vector<base::slot_id> out;
    if (now < this->list_forward_due)
        return out;
    const std::uint64_t revision = this->current_list.revision;
    for (auto& [slot, peer] : this->peers_by_slot) {
        const bool behind = peer.linked && peer.list_revision < revision &&
                            peer.list_revision_sent < revision;
        if (!behind || !peer.last_heartbeat)
            continue;
        peer.list_revision_sent = revision;
        out.push_back(slot);
    }
    return out;
}

std::vector<peer_view> roster::peers(base::instant now) const
{
    std::vector<peer_view> out;
    out.reserve(this->peers_by_slot.size());
    for (const auto& [slot, peer] : this->peers_by_slot) {
        peer_view view{slot,
                       peer.data_centre,
                       peer.incarnation,
                       peer.state,
                       peer.listed,
                       peer.linked,
                       peer.config_revision,
                       peer.list_revision,
                       peer.platform,
                       std::nullopt};
        if (peer.last_heartbeat)
            view.silence = now - *peer.last_heartbeat;
        out.push_back(view);
    }
    return out;
}

std::vector<state_change> roster::take_changes()
{
    return std::exchange(this->changes, {});
}

} // namespace greengagedrum::membership
