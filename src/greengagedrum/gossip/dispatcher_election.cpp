#include <greengagedrum/gossip/dispatcher_election.hpp>

#include <algorithm>
#include <set>

namespace greengagedrum::gossip
{

namespace
{

// Time after which an entry has seen a whole window of the limits and knows how
// fast upstreams are.
constexpr base::duration warm_up_time = std::chrono::seconds(10);

// An entry replaces an established dispatcher only if it has at least 3/2 of
// its processor share: a change costs a pause.
constexpr std::uint32_t replacement_share_halves = 3;

// An entry that does not answer a probe within the timeout is skipped for a
// while: it has died, or is partitioned from this one only.
constexpr base::duration probe_timeout = std::chrono::milliseconds(400);
constexpr base::duration skip_time = std::chrono::seconds(2);

// An entry that nobody has heard from for so long has died or has not come back
// yet. Equals the time for which limits reserve a part for partitioned entries.
constexpr base::duration forget_timeout = std::chrono::seconds(30);

// Bound on the error of the age given for a listed entry, which does not
// include the transit time of the message.
constexpr base::duration listed_age_error = std::chrono::milliseconds(100);

// Entries kept ready to take over: a successor, and one more in case it dies.
constexpr std::size_t standby_count = 2;

// Entries listed in one message: enough to find the next dispatcher after the
// loss of several, and to learn of all entries of a fleet of a few hundred
// within some seconds.
constexpr std::size_t max_listed_by_rank = 4;
constexpr std::size_t max_listed_in_rotation = 6;

} // namespace

std::vector<located_entry>
dispatcher_election::seen_within(base::duration max_age,
                                 base::instant now) const
{
    std::vector<located_entry> out;
    for (const auto& [address, one] : this->other_entries) {
        if (!one.stopping && now - one.last_seen_at <= max_age)
            out.push_back({address, one.data_centre});
    }
    return out;
}

bool dispatcher_election::is_stopping(ipv4_address address) const
{
    const auto found = this->other_entries.find(address);
    return found != this->other_entries.end() && found->second.stopping;
}

bool dispatcher_election::outranks_self(ipv4_address address) const
{
    return this->rank_of(address).is_before(
        {this->congested, this->cpu_millicores, this->own_address});
}

bool dispatcher_election::is_live(const candidate& other, base::instant now)
{
    return other.received_at &&
           now - *other.received_at <= other.liveness_timeout;
}

// Live, and dispatching requests: its own and those of its members, if any.
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
    sender.accepts_compressed = received.accepts_compressed;
    sender.liveness_timeout = this->liveness_timeout_of(sender);
    sender.probed_at.reset();
    sender.skipped_until = now;
    sender.stopping = received.stopping;
    sender.delegating = received.delegating;
    sender.dispatches_for_others = received.dispatching;
    sender.congested = received.congested;
    for (const known_entry& listed : received.known_entries) {
        if (listed.address == this->own_address || listed.data_centre.empty() ||
            listed.age > forget_timeout)
            continue;
        candidate& other = this->other_entries[listed.address];
        other.last_seen_at = std::max(other.last_seen_at, now - listed.age);
        // Failure guarded against: an entry with much processor share is
        // restarted, and entries that received its stopping message go on
        // taking it for stopping. Once it ranks first they find no dispatcher
        // and dispatch their own requests.
        if (other.received_at &&
            other.last_seen_at > *other.received_at + listed_age_error) {
            other.stopping = false;
            other.congested = listed.congested;
        }
        if (other.received_at)
            continue;
        other.data_centre = listed.data_centre;
        other.cpu_millicores = listed.cpu_millicores;
        other.congested = listed.congested;
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

std::vector<ipv4_address>
dispatcher_election::ranked_candidates(base::data_centre_id in_data_centre,
                                       base::instant now) const
{
    std::vector<duty_rank> by_rank;
    for (const auto& [address, other] : this->other_entries) {
        if (other.data_centre == in_data_centre && !other.stopping &&
            now - other.last_seen_at <= forget_timeout)
            by_rank.push_back(this->rank_of(address));
    }
    std::sort(by_rank.begin(), by_rank.end(), [](const auto& a, const auto& b) {
        return a.is_before(b);
    });
    std::vector<ipv4_address> out(by_rank.size());
    std::transform(by_rank.begin(),
                   by_rank.end(),
                   out.begin(),
                   [](const duty_rank& ranked) { return ranked.address; });
    return out;
}

std::optional<ipv4_address> dispatcher_election::dispatcher(base::instant now)
{
    const auto first = this->higher_ranked_dispatcher(now);
    const auto next = first ? first : this->incumbent_dispatcher(now);
    if (next)
        this->succeeding = false;
    else if (this->current_dispatcher &&
             this->is_established(*this->current_dispatcher, now))
        this->succeeding =
            this->is_to_be_succeeded(*this->current_dispatcher, now);
    this->current_dispatcher = next;
    return this->current_dispatcher;
}

// Failure guarded against: in a rolling restart, each high-ranked entry that
// comes back replaces the one that had succeeded it. That makes two changes of
// dispatcher for each stop, the second to a process that knows nothing of the
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

// A dispatcher that ranks below this entry and is to stay in place.
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
        const bool replaces =
            this->congested == this->is_congested(*this->current_dispatcher)
                ? has_much_more_share
                : this->is_to_be_succeeded(*this->current_dispatcher, now);
        if (recently_started || !replaces)
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

// A live dispatcher whose process has run long enough to know limits and
// upstreams.
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
    // A stopping entry goes on dispatching its own requests until the end, and
    // sends its load.
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
                       other.cpu_millicores,
                       other.congested});
    };
    for (const ipv4_address address :
         this->ranked_candidates(recipient_data_centre, now)) {
        if (out.size() == max_listed_by_rank)
            break;
        const candidate& other = this->other_entries.at(address);
        if (now - other.last_seen_at <=
            std::max(probe_timeout, other.liveness_timeout))
            list_entry(address);
    }
    const std::size_t max_count = out.size() + max_listed_in_rotation;
    auto next = this->other_entries.lower_bound(this->next_address_to_share);
    for (std::size_t visited = 0; visited < this->other_entries.size();
         ++visited) {
        if (next == this->other_entries.end())
            next = this->other_entries.begin();
        // Entries that announced their stop are not listed.
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
