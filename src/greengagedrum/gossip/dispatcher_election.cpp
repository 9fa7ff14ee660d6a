#include <greengagedrum/gossip/dispatcher_election.hpp>

#include <algorithm>
#include <set>

namespace greengagedrum::gossip
{

namespace
{

// From here on, and down to there, one entry of each data centre places. Up to
// some thirty, what each tells all others is less than what it relays.
constexpr std::size_t dispatchers_used_from = 33;
constexpr std::size_t dispatchers_used_down_to = 25;

// A dispatcher tells each member ten times a second; after three in a row that
// were not heard another one places. A process whose share of the processor is
// used up stands still for up to 100 ms.
constexpr base::duration liveness_timeout = std::chrono::milliseconds(350);

// An entry that has lived for less has not seen a whole window of the limits,
// nor how fast upstreams are.
constexpr base::duration warm_up_time = std::chrono::seconds(10);

// Much stronger, of a dispatcher: a change is worth the pause it costs.
constexpr std::uint32_t replacement_share_halves = 3;

// An entry that does not answer for so long is passed over for a while: it
// died, or is cut off from this one only.
constexpr base::duration probe_timeout = std::chrono::milliseconds(400);
constexpr base::duration skip_time = std::chrono::seconds(2);

// Nobody has had a sign of life for so long: it is gone, or not yet back. As
// long as limits keep a part for entries behind a cut.
constexpr base::duration forget_timeout = std::chrono::seconds(30);

// The age that an entry is named with lacks the message's own way.
constexpr base::duration listed_age_error = std::chrono::milliseconds(100);

// Those that are kept ready to take over: one, and one more for its death.
constexpr std::size_t standby_count = 2;

// In one message: enough to find the next dispatcher after the loss of several,
// and to hear of all entries of a few hundred within some seconds.
constexpr std::size_t max_listed_by_rank = 4;
constexpr std::size_t max_listed_in_rotation = 6;

} // namespace

// The strongest goes first, and among equals the lowest address.
bool dispatcher_election::outranks_self(ipv4_address address) const
{
    const std::uint32_t other_millicores =
        this->other_entries.at(address).cpu_millicores;
    return other_millicores != this->cpu_millicores
               ? other_millicores > this->cpu_millicores
               : address < this->own_address;
}

bool dispatcher_election::is_live(const candidate& other, base::instant now)
{
    return other.received_at && now - *other.received_at <= liveness_timeout;
}

// It was heard, and places requests: its own, and those of whoever asks it.
bool dispatcher_election::is_dispatching(const candidate& other,
                                         base::instant now)
{
    return is_live(other, now) && !other.delegating && !other.stopping;
}

void dispatcher_election::on_message(const message& received, base::instant now)
{
    if (received.address == this->own_address)
        return;
    candidate& sender = this->other_entries[received.address];
    sender.data_centre = base::data_centre_id(received.data_centre);
    sender.cpu_millicores = received.cpu_millicores;
    sender.last_seen_at = now;
    sender.started_at = now - received.uptime;
    sender.received_at = now;
    sender.probed_at.reset();
    sender.skipped_until = now;
    sender.stopping = received.stopping;
    sender.delegating = received.delegating;
    sender.dispatches_for_others = received.dispatching;
    for (const known_entry& listed : received.known_entries) {
        if (listed.address == this->own_address || listed.data_centre.empty() ||
            listed.age > forget_timeout)
            continue;
        candidate& other = this->other_entries[listed.address];
        other.last_seen_at = std::max(other.last_seen_at, now - listed.age);
        // Failure guarded against: a strong entry is restarted, and whoever
        // heard it stop goes on taking it for that. When it is next in line,
        // they look for a dispatcher in vain and place by themselves.
        if (other.received_at &&
            other.last_seen_at > *other.received_at + listed_age_error)
            other.stopping = false;
        if (other.received_at)
            continue;
        other.data_centre = listed.data_centre;
        other.cpu_millicores = listed.cpu_millicores;
    }
}

void dispatcher_election::on_probe_sent(ipv4_address address, base::instant now)
{
    const auto found = this->other_entries.find(address);
    if (found == this->other_entries.end() || is_live(found->second, now))
        return;
    candidate& other = found->second;
    if (!other.probed_at)
        other.probed_at = now;
    if (now - *other.probed_at <= probe_timeout)
        return;
    other.probed_at.reset();
    other.skipped_until = now + skip_time;
}

std::size_t dispatcher_election::entry_count(base::instant now) const
{
    return 1 + static_cast<std::size_t>(std::count_if(
                   this->other_entries.begin(),
                   this->other_entries.end(),
                   [&](const auto& entry) {
                       return now - entry.second.last_seen_at <= forget_timeout;
                   }));
}

bool dispatcher_election::uses_dispatchers(base::instant now)
{
    const std::size_t count = this->entry_count(now);
    this->dispatchers_in_use = this->dispatchers_in_use
                                   ? count >= dispatchers_used_down_to
                                   : count >= dispatchers_used_from;
    return this->dispatchers_in_use;
}

std::vector<ipv4_address>
dispatcher_election::ranked_candidates(base::data_centre_id in_data_centre,
                                       base::instant now) const
{
    std::vector<std::pair<std::uint32_t, ipv4_address>> by_rank;
    for (const auto& [address, other] : this->other_entries) {
        if (other.data_centre == in_data_centre && !other.stopping &&
            now - other.last_seen_at <= forget_timeout)
            by_rank.emplace_back(other.cpu_millicores, address);
    }
    std::sort(by_rank.begin(), by_rank.end(), [](const auto& a, const auto& b) {
        return a.first != b.first ? a.first > b.first : a.second < b.second;
    });
    std::vector<ipv4_address> out(by_rank.size());
    std::transform(by_rank.begin(),
                   by_rank.end(),
                   out.begin(),
                   [](const auto& ranked) { return ranked.second; });
    return out;
}

std::optional<ipv4_address> dispatcher_election::dispatcher(base::instant now)
{
    const auto first = this->higher_ranked_dispatcher(now);
    this->current_dispatcher = first ? first : this->incumbent_dispatcher(now);
    return this->current_dispatcher;
}

// Failure guarded against: entries are restarted one after the other, and each
// strong one that is back takes the place of the one that had followed it: two
// changes for each stop, the second to a process that knows nothing of
// upstreams.
std::optional<ipv4_address>
dispatcher_election::higher_ranked_dispatcher(base::instant now) const
{
    const bool established = this->has_established_dispatcher(now);
    for (const ipv4_address address :
         this->ranked_candidates(this->data_centre, now)) {
        if (!this->outranks_self(address))
            return std::nullopt;
        const candidate& other = this->other_entries.at(address);
        if (is_dispatching(other, now) &&
            !(established && is_recently_started(other.started_at, now)))
            return address;
    }
    return std::nullopt;
}

// One that goes after this entry and is to go on.
std::optional<ipv4_address>
dispatcher_election::incumbent_dispatcher(base::instant now) const
{
    const bool recently_started = is_recently_started(this->started, now);
    if (this->current_dispatcher &&
        this->is_established(*this->current_dispatcher, now)) {
        const std::uint32_t other_millicores =
            this->other_entries.at(*this->current_dispatcher).cpu_millicores;
        const bool has_much_more_share =
            2 * this->cpu_millicores >=
            replacement_share_halves * other_millicores;
        if (recently_started || !has_much_more_share)
            return this->current_dispatcher;
    }
    if (!recently_started)
        return std::nullopt;
    for (const ipv4_address address :
         this->ranked_candidates(this->data_centre, now)) {
        if (this->is_established(address, now))
            return address;
    }
    return std::nullopt;
}

bool dispatcher_election::is_recently_started(base::instant started,
                                              base::instant now)
{
    return now - started < warm_up_time;
}

// It places for others, and its process has seen enough to do it well.
bool dispatcher_election::is_established(ipv4_address address,
                                         base::instant now) const
{
    const auto found = this->other_entries.find(address);
    if (found == this->other_entries.end())
        return false;
    const candidate& other = found->second;
    return other.dispatches_for_others && is_dispatching(other, now) &&
           !is_recently_started(other.started_at, now);
}

bool dispatcher_election::has_established_dispatcher(base::instant now) const
{
    if (this->current_dispatcher)
        return this->is_established(*this->current_dispatcher, now);
    return this->dispatching && !is_recently_started(this->started, now);
}

bool dispatcher_election::is_replaced(ipv4_address address,
                                      base::instant now) const
{
    const auto found = this->other_entries.find(address);
    if (found == this->other_entries.end())
        return false;
    // One that stops places its own requests to the end, and tells of them.
    if (is_live(found->second, now) && !found->second.delegating)
        return false;
    const base::data_centre_id in_data_centre = found->second.data_centre;
    return std::any_of(this->other_entries.begin(),
                       this->other_entries.end(),
                       [&](const auto& entry) {
                           return entry.second.data_centre == in_data_centre &&
                                  is_dispatching(entry.second, now);
                       });
}

std::vector<ipv4_address>
dispatcher_election::standby_entries(base::instant now) const
{
    std::vector<ipv4_address> out;
    for (const ipv4_address address :
         this->ranked_candidates(this->data_centre, now)) {
        if (out.size() == standby_count)
            break;
        if (is_live(this->other_entries.at(address), now))
            out.push_back(address);
    }
    return out;
}

std::size_t dispatcher_election::higher_ranked_count(base::instant now) const
{
    const std::vector<ipv4_address> all =
        this->ranked_candidates(this->data_centre, now);
    return static_cast<std::size_t>(
        std::count_if(all.begin(), all.end(), [&](ipv4_address address) {
            return this->outranks_self(address);
        }));
}

std::size_t dispatcher_election::other_dispatcher_count(base::instant now) const
{
    return static_cast<std::size_t>(std::count_if(
        this->other_entries.begin(),
        this->other_entries.end(),
        [&](const auto& entry) { return is_dispatching(entry.second, now); }));
}

bool dispatcher_election::has_dispatcher_in_data_centre(base::instant now) const
{
    return std::any_of(this->other_entries.begin(),
                       this->other_entries.end(),
                       [&](const auto& entry) {
                           return entry.second.data_centre ==
                                      this->data_centre &&
                                  is_dispatching(entry.second, now);
                       });
}

std::size_t
dispatcher_election::never_heard_data_centre_count(base::instant now) const
{
    std::set<base::data_centre_id> listed;
    std::set<base::data_centre_id> ever_heard;
    for (const auto& [address, other] : this->other_entries) {
        if (other.data_centre == this->data_centre || other.data_centre.empty())
            continue;
        if (now - other.last_seen_at <= forget_timeout)
            listed.insert(other.data_centre);
        if (other.received_at)
            ever_heard.insert(other.data_centre);
    }
    std::size_t out = 0;
    for (const base::data_centre_id data_centre : listed)
        out += ever_heard.contains(data_centre) ? 0 : 1;
    return out;
}

std::size_t
dispatcher_election::known_count_in_data_centre(base::instant now) const
{
    return this->ranked_candidates(this->data_centre, now).size();
}

std::vector<known_entry> dispatcher_election::select_known_entries(
    base::data_centre_id recipient_data_centre, base::instant now)
{
    std::vector<known_entry> out;
    const auto list_entry = [&](ipv4_address address) {
        const candidate& other = this->other_entries.at(address);
        out.push_back({address,
                       now - other.last_seen_at,
                       other.data_centre,
                       other.cpu_millicores});
    };
    for (const ipv4_address address :
         this->ranked_candidates(recipient_data_centre, now)) {
        if (out.size() == max_listed_by_rank)
            break;
        if (now - this->other_entries.at(address).last_seen_at <= probe_timeout)
            list_entry(address);
    }
    const std::size_t max_count = out.size() + max_listed_in_rotation;
    auto next = this->other_entries.lower_bound(this->next_address_to_share);
    for (std::size_t visited = 0; visited < this->other_entries.size();
         ++visited) {
        if (next == this->other_entries.end())
            next = this->other_entries.begin();
        // Whoever is named has not said that it stops.
        const bool known_lately =
            now - next->second.last_seen_at <= forget_timeout;
        if (known_lately && !next->second.stopping)
            list_entry(next->first);
        ++next;
        if (out.size() == max_count)
            break;
    }
    this->next_address_to_share =
        next == this->other_entries.end() ? 0 : next->first;
    return out;
}

} // namespace greengagedrum::gossip
