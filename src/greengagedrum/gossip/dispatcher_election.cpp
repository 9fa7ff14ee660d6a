#include <greengagedrum/gossip/dispatcher_election.hpp>

#include <algorithm>
#include <set>

namespace greengagedrum::gossip
{

namespace
{

// From here on, and down to there, one entry of each data centre places. Up to
// some thirty, what each tells all others is less than what it relays.
constexpr std::size_t large_from = 33;
constexpr std::size_t large_until = 25;

// A dispatcher tells each member ten times a second; after three in a row that
// were not heard another one places. A process whose share of the processor is
// used up stands still for up to 100 ms.
constexpr base::duration heard_for = std::chrono::milliseconds(350);

// An entry that has lived for less has not seen a whole window of the limits,
// nor how fast upstreams are.
constexpr base::duration young_for = std::chrono::seconds(10);

// Much stronger, of a dispatcher: a change is worth the pause it costs.
constexpr std::uint32_t stronger_halves = 3;

// An entry that does not answer for so long is passed over for a while: it
// died, or is cut off from this one only.
constexpr base::duration answer_bound = std::chrono::milliseconds(400);
constexpr base::duration passed_over = std::chrono::seconds(2);

// Nobody has had a sign of life for so long: it is gone, or not yet back. As
// long as limits keep a part for entries behind a cut.
constexpr base::duration forgotten_after = std::chrono::seconds(30);

// The age that an entry is named with lacks the message's own way.
constexpr base::duration naming_lag = std::chrono::milliseconds(100);

// Those that are kept ready to take over: one, and one more for its death.
constexpr std::size_t successors = 2;

// In one message: enough to find the next dispatcher after the loss of several,
// and to hear of all entries of a few hundred within some seconds.
constexpr std::size_t strongest_named = 4;
constexpr std::size_t named_in_turn = 6;

} // namespace

// The strongest goes first, and among equals the lowest address.
bool dispatcher_election::outranks_self(ipv4_address address) const
{
    const std::uint32_t other = this->other_entries.at(address).cpu_millicores;
    return other != this->cpu_millicores ? other > this->cpu_millicores
                                         : address < this->own_address;
}

bool dispatcher_election::is_live(const candidate& one, base::instant now)
{
    return one.heard_at && now - *one.heard_at <= heard_for;
}

// It was heard, and places requests: its own, and those of whoever asks it.
bool dispatcher_election::is_dispatching(const candidate& one,
                                         base::instant now)
{
    return is_live(one, now) && !one.delegating && !one.stopping;
}

void dispatcher_election::on_message(const message& told, base::instant now)
{
    if (told.address == this->own_address)
        return;
    candidate& sender = this->other_entries[told.address];
    sender.data_centre = base::data_centre_id(told.data_centre);
    sender.cpu_millicores = told.cpu_millicores;
    sender.last_seen_at = now;
    sender.started_at = now - told.uptime;
    sender.heard_at = now;
    sender.probed_at.reset();
    sender.skipped_until = now;
    sender.stopping = told.stopping;
    sender.delegating = told.delegating;
    sender.dispatches_for_others = told.dispatching;
    for (const known_entry& named : told.known_entries) {
        if (named.address == this->own_address || named.data_centre.empty() ||
            named.age > forgotten_after)
            continue;
        candidate& one = this->other_entries[named.address];
        one.last_seen_at = std::max(one.last_seen_at, now - named.age);
        // Failure guarded against: a strong entry is restarted, and whoever
        // heard it stop goes on taking it for that. When it is next in line,
        // they look for a dispatcher in vain and place by themselves.
        if (one.heard_at && one.last_seen_at > *one.heard_at + naming_lag)
            one.stopping = false;
        if (one.heard_at)
            continue;
        one.data_centre = named.data_centre;
        one.cpu_millicores = named.cpu_millicores;
    }
}

void dispatcher_election::on_probe_sent(ipv4_address address, base::instant now)
{
    const auto found = this->other_entries.find(address);
    if (found == this->other_entries.end() || is_live(found->second, now))
        return;
    candidate& one = found->second;
    if (!one.probed_at)
        one.probed_at = now;
    if (now - *one.probed_at <= answer_bound)
        return;
    one.probed_at.reset();
    one.skipped_until = now + passed_over;
}

std::size_t dispatcher_election::entry_count(base::instant now) const
{
    return 1 + static_cast<std::size_t>(
                   std::count_if(this->other_entries.begin(),
                                 this->other_entries.end(),
                                 [&](const auto& entry) {
                                     return now - entry.second.last_seen_at <=
                                            forgotten_after;
                                 }));
}

bool dispatcher_election::uses_dispatchers(base::instant now)
{
    const std::size_t count = this->entry_count(now);
    this->dispatchers_in_use =
        this->dispatchers_in_use ? count >= large_until : count >= large_from;
    return this->dispatchers_in_use;
}

std::vector<ipv4_address>
dispatcher_election::ranked_candidates(base::data_centre_id of,
                                       base::instant now) const
{
    std::vector<std::pair<std::uint32_t, ipv4_address>> known;
    for (const auto& [address, one] : this->other_entries) {
        if (one.data_centre == of && !one.stopping &&
            now - one.last_seen_at <= forgotten_after)
            known.emplace_back(one.cpu_millicores, address);
    }
    std::sort(known.begin(), known.end(), [](const auto& a, const auto& b) {
        return a.first != b.first ? a.first > b.first : a.second < b.second;
    });
    std::vector<ipv4_address> out(known.size());
    std::transform(known.begin(),
                   known.end(),
                   out.begin(),
                   [](const auto& one) { return one.second; });
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
    const bool served = this->has_established_dispatcher(now);
    for (const ipv4_address address :
         this->ranked_candidates(this->data_centre, now)) {
        if (!this->outranks_self(address))
            return std::nullopt;
        const candidate& one = this->other_entries.at(address);
        if (is_dispatching(one, now) &&
            !(served && is_recently_started(one.started_at, now)))
            return address;
    }
    return std::nullopt;
}

// One that goes after this entry and is to go on.
std::optional<ipv4_address>
dispatcher_election::incumbent_dispatcher(base::instant now) const
{
    const bool young = is_recently_started(this->started, now);
    if (this->current_dispatcher &&
        this->is_established(*this->current_dispatcher, now)) {
        const std::uint32_t other =
            this->other_entries.at(*this->current_dispatcher).cpu_millicores;
        const bool much_stronger =
            2 * this->cpu_millicores >= stronger_halves * other;
        if (young || !much_stronger)
            return this->current_dispatcher;
    }
    if (!young)
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
    return now - started < young_for;
}

// It places for others, and its process has seen enough to do it well.
bool dispatcher_election::is_established(ipv4_address address,
                                         base::instant now) const
{
    const auto found = this->other_entries.find(address);
    if (found == this->other_entries.end())
        return false;
    const candidate& one = found->second;
    return one.dispatches_for_others && is_dispatching(one, now) &&
           !is_recently_started(one.started_at, now);
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
    const base::data_centre_id of = found->second.data_centre;
    return std::any_of(this->other_entries.begin(),
                       this->other_entries.end(),
                       [&](const auto& entry) {
                           return entry.second.data_centre == of &&
                                  is_dispatching(entry.second, now);
                       });
}

std::vector<ipv4_address>
dispatcher_election::standby_entries(base::instant now) const
{
    std::vector<ipv4_address> out;
    for (const ipv4_address address :
         this->ranked_candidates(this->data_centre, now)) {
        if (out.size() == successors)
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
    std::set<base::data_centre_id> known;
    std::set<base::data_centre_id> ever_heard;
    for (const auto& [address, one] : this->other_entries) {
        if (one.data_centre == this->data_centre || one.data_centre.empty())
            continue;
        if (now - one.last_seen_at <= forgotten_after)
            known.insert(one.data_centre);
        if (one.heard_at)
            ever_heard.insert(one.data_centre);
    }
    std::size_t out = 0;
    for (const base::data_centre_id place : known)
        out += ever_heard.contains(place) ? 0 : 1;
    return out;
}

std::size_t
dispatcher_election::known_count_in_data_centre(base::instant now) const
{
    return this->ranked_candidates(this->data_centre, now).size();
}

std::vector<known_entry>
dispatcher_election::select_known_entries(base::data_centre_id to,
                                          base::instant now)
{
    std::vector<known_entry> out;
    const auto name = [&](ipv4_address address) {
        const candidate& one = this->other_entries.at(address);
        out.push_back({address,
                       now - one.last_seen_at,
                       one.data_centre,
                       one.cpu_millicores});
    };
    for (const ipv4_address address : this->ranked_candidates(to, now)) {
        if (out.size() == strongest_named)
            break;
        if (now - this->other_entries.at(address).last_seen_at <= answer_bound)
            name(address);
    }
    const std::size_t most = out.size() + named_in_turn;
    auto next = this->other_entries.lower_bound(this->next_address_to_share);
    for (std::size_t seen = 0; seen < this->other_entries.size(); ++seen) {
        if (next == this->other_entries.end())
            next = this->other_entries.begin();
        // Whoever is named has not said that it stops.
        const bool there = now - next->second.last_seen_at <= forgotten_after;
        if (there && !next->second.stopping)
            name(next->first);
        ++next;
        if (out.size() == most)
            break;
    }
    this->next_address_to_share =
        next == this->other_entries.end() ? 0 : next->first;
    return out;
}

} // namespace greengagedrum::gossip
