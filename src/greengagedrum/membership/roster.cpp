#include <greengagedrum/membership/roster.hpp>

#include <algorithm>
#include <utility>

namespace greengagedrum::membership
{

namespace
{

// Whoever has a new list lets the platform's watches of the others come first,
// then passes it on to those still behind; the lowest ranks begin, so that
// most others find nothing left to do. The sum stays below 2 s.
constexpr base::duration list_wait_base(100'000);
constexpr base::duration list_wait_of_rank(50'000);
constexpr std::size_t list_ranks_max = 18;

// An old life is told in every fourth heartbeat, for the bytes
// (send_intervals.hpp).
constexpr std::uint64_t turns_between_old = 4;

} // namespace

roster::roster(const roster_options& given) : options(given)
{
    this->incarnations.learn(given.slot, given.incarnation);
}

// Guards against a process that was stopped for a while and believes on waking
// that its facts are of a moment ago. It shows as a gap between two readings
// of the monotonic clock; in a process that runs, the gap is a tick.
void roster::observe(base::instant now)
{
    const auto before = std::exchange(this->last_reading, now);
    if (before && now - *before > this->options.lease)
        this->enter_pause(now);
}

// The peers' silence during our own pause says nothing of them, so it starts
// anew. No link counts until it is made afresh: bytes that arrived during the
// pause wait in the old ones.
void roster::enter_pause(base::instant now)
{
    this->is_paused = true;
    this->woke = now;
    ++this->pauses;
    for (auto& [slot, one] : this->known) {
        one.linked = false;
        if (one.state != peer_state::gone && one.silent)
            one.silent = now;
    }
}

void roster::on_platform_response(base::instant asked)
{
    const bool alone =
        std::none_of(this->known.begin(),
                     this->known.end(),
                     [](const auto& entry) { return entry.second.listed; });
    if (this->is_paused && alone && asked > this->woke)
        this->is_paused = false;
}

bool roster::update_list(instance_list list, base::instant now)
{
    this->observe(now);
    if (list.revision <= this->newest.revision)
        return false;
    this->newest = std::move(list);
    this->own_listed = false;
    for (auto& [slot, one] : this->known)
        one.listed = one.listed_leaving = false;
    for (const listed_instance& line : this->newest.instances) {
        if (line.type != instance_type::entry)
            continue;
        const base::slot_id slot(line.name);
        if (slot == this->options.slot) {
            this->own_listed = true;
            continue;
        }
        peer& one = this->known[slot];
        one.data_centre = base::data_centre_id(line.data_centre);
        one.listed = true;
        one.listed_leaving = line.state == listed_state::leaving;
    }
    const std::size_t place =
        std::min(this->rank().value_or(list_ranks_max), list_ranks_max);
    this->list_due =
        now + list_wait_base +
        list_wait_of_rank * static_cast<base::duration::rep>(place);
    this->tick(now);
    return true;
}

bool roster::receive_heartbeat(const heartbeat& beat, base::instant now)
{
    this->observe(now);
    if (beat.slot == this->options.slot || beat.slot.empty())
        return false;
    for (const heartbeat::known_incarnation& told : beat.known_incarnations)
        this->learn_incarnation(told.slot, told.incarnation);
    this->incarnations.learn(beat.slot, beat.incarnation);
    if (beat.incarnation < this->incarnations.highest(beat.slot))
        return false;
    peer& one = this->known[beat.slot];
    const bool same_incarnation = beat.incarnation == one.incarnation;
    if (same_incarnation && beat.sequence <= one.sequence)
        return false;
    if (!same_incarnation)
        one.list_sent = 0;
    one.incarnation = beat.incarnation;
    one.sequence = beat.sequence;
    one.said_leaving = beat.leaving;
    one.config_revision = beat.config_revision;
    one.list_revision = beat.list_revision;
    one.platform = beat.platform;
    // Without a link made since the wake it may have been sent before it.
    if (this->is_paused && !one.linked)
        return false;
    this->is_paused = false;
    one.heard = now;
    one.silent = now;
    this->refresh(beat.slot, one, now);
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
    this->observe(now);
    this->learn_incarnation(slot, incarnation);
    peer& one = this->known[slot];
    one.linked = true;
    this->refresh(slot, one, now);
}

void roster::link_down(base::slot_id slot, base::instant now)
{
    this->observe(now);
    const auto found = this->known.find(slot);
    if (found == this->known.end())
        return;
    found->second.linked = false;
    this->refresh(slot, found->second, now);
}

void roster::tick(base::instant now)
{
    this->observe(now);
    for (auto& [slot, one] : this->known)
        this->refresh(slot, one, now);
    std::erase_if(this->known, [](const auto& entry) {
        const peer& one = entry.second;
        const bool over = one.state == peer_state::gone ||
                          one.state == peer_state::never_heard;
        return !one.listed && !one.linked && over;
    });
}

peer_state roster::state_of(const peer& one, base::instant now) const
{
    if (!one.silent)
        return peer_state::never_heard;
    const base::duration silence = now - *one.silent;
    const bool leaves = one.said_leaving || one.listed_leaving;
    if (silence > this->options.gone_after)
        return peer_state::gone;
    const bool quiet = !one.linked || silence > this->options.suspect_after;
    if (quiet)
        return one.said_leaving ? peer_state::gone : peer_state::suspect;
    return leaves ? peer_state::leaving : peer_state::alive;
}

void roster::refresh(base::slot_id slot, peer& one, base::instant now)
{
    const peer_state next = this->state_of(one, now);
    if (next == one.state)
        return;
    one.state = next;
    this->changes.push_back({slot, next});
}

heartbeat roster::next_heartbeat(std::uint64_t config_revision,
                                 base::platform_reachability platform)
{
    heartbeat out;
    out.slot = this->options.slot;
    out.incarnation = this->options.incarnation;
    out.sequence = ++this->sequence;
    out.leaving = this->is_leaving;
    out.config_revision = config_revision;
    out.list_revision = this->newest.revision;
    out.platform = platform;
    out.known_incarnations =
        this->incarnations.next_to_tell(out.sequence % turns_between_old == 0);
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
    const auto found = this->known.find(slot);
    return found == this->known.end() ? base::data_centre_id()
                                      : found->second.data_centre;
}

std::vector<link_target> roster::links_wanted() const
{
    return choose_links(this->newest,
                        this->options.slot,
                        this->options.data_centre,
                        [this](base::slot_id slot) {
                            const auto found = this->known.find(slot);
                            return found == this->known.end() ||
                                   found->second.state != peer_state::gone;
                        });
}

send_intervals roster::current_intervals() const
{
    std::size_t links = 0;
    std::size_t within = 0;
    for (const auto& [slot, one] : this->known) {
        links += one.linked ? 1 : 0;
        const bool near = one.data_centre == this->options.data_centre;
        within += one.linked && near ? 1 : 0;
    }
    return send_intervals_for(links, within);
}

bool roster::counts_as_live(const peer& one) const
{
    return one.listed && one.state == peer_state::alive &&
           one.data_centre == this->options.data_centre;
}

std::optional<std::size_t> roster::rank() const
{
    if (this->is_leaving || this->superseded() || !this->own_listed)
        return std::nullopt;
    std::size_t before = 0;
    for (const auto& [slot, one] : this->known)
        if (slot < this->options.slot && this->counts_as_live(one))
            ++before;
    return before;
}

std::size_t roster::alive_count() const
{
    const auto others = std::count_if(
        this->known.begin(), this->known.end(), [this](const auto& entry) {
            return this->counts_as_live(entry.second);
        });
    return 1 + static_cast<std::size_t>(others);
}

std::size_t roster::listed_peer_count() const
{
    const auto count = std::count_if(
        this->known.begin(), this->known.end(), [this](const auto& entry) {
            return entry.second.listed &&
                   entry.second.data_centre == this->options.data_centre;
        });
    return static_cast<std::size_t>(count);
}

std::size_t roster::heard_peer_count(base::instant when) const
{
    const auto count = std::count_if(
        this->known.begin(), this->known.end(), [&](const auto& entry) {
            const peer& one = entry.second;
            return one.listed && one.data_centre == this->options.data_centre &&
                   one.heard && *one.heard >= when;
        });
    return static_cast<std::size_t>(count);
}

bool roster::data_centre_silent(base::data_centre_id where) const
{
    bool heard_once = false;
    for (const auto& [slot, one] : this->known) {
        if (one.data_centre != where || !one.heard)
            continue;
        heard_once = true;
        const bool silent =
            one.state == peer_state::suspect || one.state == peer_state::gone;
        if (!silent)
            return false;
    }
    return heard_once;
}

std::vector<base::slot_id> roster::list_receivers(base::instant now)
{
    std::vector<base::slot_id> out;
    if (now < this->list_due)
        return out;
    const std::uint64_t revision = this->newest.revision;
    for (auto& [slot, one] : this->known) {
        const bool behind = one.linked && one.list_revision < revision &&
                            one.list_sent < revision;
        if (!behind || !one.heard)
            continue;
        one.list_sent = revision;
        out.push_back(slot);
    }
    return out;
}

std::vector<peer_view> roster::peers(base::instant now) const
{
    std::vector<peer_view> out;
    out.reserve(this->known.size());
    for (const auto& [slot, one] : this->known) {
        peer_view view{slot,
                       one.data_centre,
                       one.incarnation,
                       one.state,
                       one.listed,
                       one.linked,
                       one.config_revision,
                       one.list_revision,
                       one.platform,
                       std::nullopt};
        if (one.heard)
            view.silence = now - *one.heard;
        out.push_back(view);
    }
    return out;
}

std::vector<state_change> roster::take_changes()
{
    return std::exchange(this->changes, {});
}

} // namespace greengagedrum::membership
