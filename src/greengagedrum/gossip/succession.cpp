#include <greengagedrum/gossip/succession.hpp>

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
bool dispatcher_election::goes_before_own(ipv4_address address) const
{
    const std::uint32_t other = this->others.at(address).cpu_millicores;
    return other != this->cpu_millicores ? other > this->cpu_millicores
                                         : address < this->own;
}

bool dispatcher_election::is_heard(const candidate& one, base::instant now)
{
    return one.heard_at && now - *one.heard_at <= heard_for;
}

// It was heard, and places requests: its own, and those of whoever asks it.
bool dispatcher_election::places(const candidate& one, base::instant now)
{
    return is_heard(one, now) && !one.delegating && !one.stopping;
}

void dispatcher_election::heard(const message& told, base::instant now)
{
    if (told.address == this->own)
        return;
    candidate& sender = this->others[told.address];
    sender.data_centre = base::data_centre_id(told.data_centre);
    sender.cpu_millicores = told.cpu_millicores;
    sender.seen_at = now;
    sender.started_at = now - told.uptime;
    sender.heard_at = now;
    sender.asked_at.reset();
    sender.passed_over_until = now;
    sender.stopping = told.stopping;
    sender.delegating = told.delegating;
    sender.dispatching = told.dispatching;
    for (const known_entry& named : told.known_entries) {
        if (named.address == this->own || named.data_centre.empty() ||
            named.age > forgotten_after)
            continue;
        candidate& one = this->others[named.address];
        one.seen_at = std::max(one.seen_at, now - named.age);
        // Failure guarded against: a strong entry is restarted, and whoever
        // heard it stop goes on taking it for that. When it is next in line,
        // they look for a dispatcher in vain and place by themselves.
        if (one.heard_at && one.seen_at > *one.heard_at + naming_lag)
            one.stopping = false;
        if (one.heard_at)
            continue;
        one.data_centre = named.data_centre;
        one.cpu_millicores = named.cpu_millicores;
    }
}

void dispatcher_election::told(ipv4_address address, base::instant now)
{
    const auto found = this->others.find(address);
    if (found == this->others.end() || is_heard(found->second, now))
        return;
    candidate& one = found->second;
    if (!one.asked_at)
        one.asked_at = now;
    if (now - *one.asked_at <= answer_bound)
        return;
    one.asked_at.reset();
    one.passed_over_until = now + passed_over;
}

std::size_t dispatcher_election::size(base::instant now) const
{
    return 1 + static_cast<std::size_t>(std::count_if(
                   this->others.begin(),
                   this->others.end(),
                   [&](const auto& entry) {
                       return now - entry.second.seen_at <= forgotten_after;
                   }));
}

bool dispatcher_election::is_large(base::instant now)
{
    const std::size_t count = this->size(now);
    this->large = this->large ? count >= large_until : count >= large_from;
    return this->large;
}

std::vector<ipv4_address> dispatcher_election::ranked(base::data_centre_id of,
                                                      base::instant now) const
{
    std::vector<std::pair<std::uint32_t, ipv4_address>> known;
    for (const auto& [address, one] : this->others) {
        if (one.data_centre == of && !one.stopping &&
            now - one.seen_at <= forgotten_after)
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
    const auto first = this->first_before_own(now);
    this->chosen = first ? first : this->left_in_place(now);
    return this->chosen;
}

// Failure guarded against: entries are restarted one after the other, and each
// strong one that is back takes the place of the one that had followed it: two
// changes for each stop, the second to a process that knows nothing of
// upstreams.
std::optional<ipv4_address>
dispatcher_election::first_before_own(base::instant now) const
{
    const bool served = this->is_well_served(now);
    for (const ipv4_address address : this->ranked(this->data_centre, now)) {
        if (!this->goes_before_own(address))
            return std::nullopt;
        const candidate& one = this->others.at(address);
        if (places(one, now) && !(served && is_young(one.started_at, now)))
            return address;
    }
    return std::nullopt;
}

// One that goes after this entry and is to go on.
std::optional<ipv4_address>
dispatcher_election::left_in_place(base::instant now) const
{
    const bool young = is_young(this->started, now);
    if (this->chosen && this->is_settled(*this->chosen, now)) {
        const std::uint32_t other =
            this->others.at(*this->chosen).cpu_millicores;
        const bool much_stronger =
            2 * this->cpu_millicores >= stronger_halves * other;
        if (young || !much_stronger)
            return this->chosen;
    }
    if (!young)
        return std::nullopt;
    for (const ipv4_address address : this->ranked(this->data_centre, now)) {
        if (this->is_settled(address, now))
            return address;
    }
    return std::nullopt;
}

bool dispatcher_election::is_young(base::instant started, base::instant now)
{
    return now - started < young_for;
}

// It places for others, and its process has seen enough to do it well.
bool dispatcher_election::is_settled(ipv4_address address,
                                     base::instant now) const
{
    const auto found = this->others.find(address);
    if (found == this->others.end())
        return false;
    const candidate& one = found->second;
    return one.dispatching && places(one, now) &&
           !is_young(one.started_at, now);
}

bool dispatcher_election::is_well_served(base::instant now) const
{
    if (this->chosen)
        return this->is_settled(*this->chosen, now);
    return this->dispatching && !is_young(this->started, now);
}

bool dispatcher_election::is_replaced(ipv4_address address,
                                      base::instant now) const
{
    const auto found = this->others.find(address);
    if (found == this->others.end())
        return false;
    // One that stops places its own requests to the end, and tells of them.
    if (is_heard(found->second, now) && !found->second.delegating)
        return false;
    const base::data_centre_id of = found->second.data_centre;
    return std::any_of(
        this->others.begin(), this->others.end(), [&](const auto& entry) {
            return entry.second.data_centre == of && places(entry.second, now);
        });
}

std::vector<ipv4_address>
dispatcher_election::next_in_line(base::instant now) const
{
    std::vector<ipv4_address> out;
    for (const ipv4_address address : this->ranked(this->data_centre, now)) {
        if (out.size() == successors)
            break;
        if (is_heard(this->others.at(address), now))
            out.push_back(address);
    }
    return out;
}

std::size_t dispatcher_election::place_in_line(base::instant now) const
{
    const std::vector<ipv4_address> all = this->ranked(this->data_centre, now);
    return static_cast<std::size_t>(
        std::count_if(all.begin(), all.end(), [&](ipv4_address address) {
            return this->goes_before_own(address);
        }));
}

std::size_t dispatcher_election::dispatchers(base::instant now) const
{
    return static_cast<std::size_t>(std::count_if(
        this->others.begin(), this->others.end(), [&](const auto& entry) {
            return places(entry.second, now);
        }));
}

bool dispatcher_election::is_placed_nearby(base::instant now) const
{
    return std::any_of(
        this->others.begin(), this->others.end(), [&](const auto& entry) {
            return entry.second.data_centre == this->data_centre &&
                   places(entry.second, now);
        });
}

std::size_t dispatcher_election::unheard_data_centres(base::instant now) const
{
    std::set<base::data_centre_id> known;
    std::set<base::data_centre_id> ever_heard;
    for (const auto& [address, one] : this->others) {
        if (one.data_centre == this->data_centre || one.data_centre.empty())
            continue;
        if (now - one.seen_at <= forgotten_after)
            known.insert(one.data_centre);
        if (one.heard_at)
            ever_heard.insert(one.data_centre);
    }
    std::size_t out = 0;
    for (const base::data_centre_id place : known)
        out += ever_heard.contains(place) ? 0 : 1;
    return out;
}

std::size_t dispatcher_election::known_nearby(base::instant now) const
{
    return this->ranked(this->data_centre, now).size();
}

std::vector<known_entry> dispatcher_election::to_name(base::data_centre_id to,
                                                      base::instant now)
{
    std::vector<known_entry> out;
    const auto name = [&](ipv4_address address) {
        const candidate& one = this->others.at(address);
        out.push_back(
            {address, now - one.seen_at, one.data_centre, one.cpu_millicores});
    };
    for (const ipv4_address address : this->ranked(to, now)) {
        if (out.size() == strongest_named)
            break;
        if (now - this->others.at(address).seen_at <= answer_bound)
            name(address);
    }
    const std::size_t most = out.size() + named_in_turn;
    auto next = this->others.lower_bound(this->next_named);
    for (std::size_t seen = 0; seen < this->others.size(); ++seen) {
        if (next == this->others.end())
            next = this->others.begin();
        // Whoever is named has not said that it stops.
        const bool there = now - next->second.seen_at <= forgotten_after;
        if (there && !next->second.stopping)
            name(next->first);
        ++next;
        if (out.size() == most)
            break;
    }
    this->next_named = next == this->others.end() ? 0 : next->first;
    return out;
}

} // namespace greengagedrum::gossip
