#include <greengagedrum/gossip/peer_table.hpp>

#include <algorithm>
#include <tuple>

namespace greengagedrum::gossip
{

namespace
{

// A live entry tells at least five times a second; seven messages in a row are
// not lost by chance.
constexpr base::duration alive_for = std::chrono::milliseconds(1500);

// After a cut an entry is still counted for so long, as one that may return.
constexpr base::duration lately = std::chrono::seconds(10);

// Those that are silent are told once in this time: a seed that was down, an
// entry behind a cut that has healed.
constexpr base::duration retry_period = std::chrono::milliseconds(500);

// An entry that nobody has heard for so long is forgotten, but for seeds.
constexpr base::duration forgotten_after = std::chrono::seconds(60);

// Enough for a new entry to hear of dozens within its first seconds.
constexpr std::size_t named_at_once = 8;
constexpr base::duration naming_gap = std::chrono::milliseconds(150);

} // namespace

bool peer_table::is_alive(const peer& one, base::instant now)
{
    return one.heard_at && now - *one.heard_at <= alive_for;
}

void peer_table::add_seed(ipv4_address address)
{
    if (address != this->own)
        this->peers[address].seed = true;
}

peer_news peer_table::heard(const message& told, base::instant now)
{
    // An address may be another process of ours at this very place, before a
    // restart: its messages are not to be taken for a peer's.
    if (told.address == this->own)
        return peer_news::outdated;
    peer& one = this->peers[told.address];
    const bool known = one.heard_at.has_value();
    const bool same_life = known && one.incarnation == told.incarnation;
    if (same_life && told.sequence <= one.sequence)
        return peer_news::outdated;
    const bool was_alive = one.alive_told;
    one.instance = told.instance;
    one.near = told.data_centre == this->data_centre;
    one.data_centre = base::data_centre_id(told.data_centre);
    one.cpu_millicores = told.cpu_millicores;
    one.incarnation = told.incarnation;
    one.sequence = told.sequence;
    one.heard_at = now;
    one.alive_told = true;
    one.stopping = told.stopping;
    one.configuration_revision = told.configuration_revision;
    one.change_revision = told.change_revision;
    one.store_revision = told.store_revision;
    for (const known_entry& named : told.known_entries) {
        if (named.address != this->own && named.age < forgotten_after)
            this->peers[named.address].named_at = now;
    }
    if (known && !same_life)
        return peer_news::restarted;
    return was_alive ? peer_news::none : peer_news::found;
}

std::vector<ipv4_address> peer_table::to_tell(recipient_group who,
                                              base::instant now)
{
    const bool near = who == recipient_group::own_data_centre;
    std::vector<ipv4_address> out;
    for (auto& [address, one] : this->peers) {
        const bool alive = is_alive(one, now);
        if ((alive && one.near) != near)
            continue;
        if (!alive) {
            if (now - one.tried_at < retry_period)
                continue;
            one.tried_at = now;
        }
        out.push_back(address);
    }
    std::erase_if(this->peers, [&](const auto& entry) {
        const peer& one = entry.second;
        const base::instant last = one.heard_at.value_or(one.named_at);
        return !one.seed && now - last > forgotten_after;
    });
    return out;
}

std::vector<ipv4_address> peer_table::silent_seeds(base::instant now) const
{
    std::vector<ipv4_address> out;
    for (const auto& [address, one] : this->peers) {
        if (one.seed && !is_alive(one, now))
            out.push_back(address);
    }
    return out;
}

std::vector<known_entry> peer_table::some_known(recipient_group who,
                                                base::instant now)
{
    std::vector<known_entry> out;
    base::instant& named_at = who == recipient_group::own_data_centre
                                  ? this->named_near_at
                                  : this->named_far_at;
    if (now - named_at < naming_gap)
        return out;
    named_at = now;
    auto next = this->peers.lower_bound(this->next_named);
    for (std::size_t seen = 0; seen < this->peers.size(); ++seen) {
        if (next == this->peers.end())
            next = this->peers.begin();
        if (next->second.heard_at)
            out.push_back({next->first,
                           now - *next->second.heard_at,
                           next->second.data_centre,
                           next->second.cpu_millicores});
        ++next;
        if (out.size() == named_at_once)
            break;
    }
    this->next_named = next == this->peers.end() ? 0 : next->first;
    return out;
}

std::vector<std::string> peer_table::fallen_silent(base::instant now)
{
    std::vector<std::string> out;
    for (auto& [address, one] : this->peers) {
        if (!one.alive_told || is_alive(one, now))
            continue;
        one.alive_told = false;
        out.push_back(one.instance);
    }
    return out;
}

std::size_t peer_table::alive(base::instant now) const
{
    std::size_t count = 0;
    for (const auto& [address, one] : this->peers)
        count += is_alive(one, now) && !one.stopping ? 1 : 0;
    return count;
}

std::size_t peer_table::unheard() const
{
    return static_cast<std::size_t>(std::count_if(
        this->peers.begin(), this->peers.end(), [](const auto& entry) {
            return !entry.second.heard_at;
        }));
}

bool peer_table::has_unheard_seed() const
{
    return std::any_of(
        this->peers.begin(), this->peers.end(), [](const auto& entry) {
            return entry.second.seed && !entry.second.heard_at;
        });
}

std::size_t peer_table::alive_near(base::instant now) const
{
    return static_cast<std::size_t>(std::count_if(
        this->peers.begin(), this->peers.end(), [&](const auto& entry) {
            return entry.second.near && is_alive(entry.second, now);
        }));
}

std::size_t peer_table::alive_lately(base::instant now) const
{
    std::size_t count = 0;
    for (const auto& [address, one] : this->peers)
        count += one.heard_at && now - *one.heard_at <= lately ? 1 : 0;
    return count;
}

peer_table::nearby_order peer_table::nearby_lately(base::instant now) const
{
    nearby_order out;
    for (const auto& [address, one] : this->peers) {
        if (!one.near || !one.heard_at || now - *one.heard_at > lately)
            continue;
        out.entries += 1;
        out.lower += address < this->own ? 1 : 0;
    }
    return out;
}

std::optional<peer_table::source>
peer_table::newest_source(base::instant now, std::uint64_t turn) const
{
    std::vector<source> known;
    for (const auto& [address, one] : this->peers) {
        if (is_alive(one, now) && one.store_revision > 0)
            known.push_back({address,
                             one.near,
                             one.configuration_revision,
                             one.change_revision,
                             one.store_revision});
    }
    if (known.empty())
        return std::nullopt;
    std::rotate(known.begin(),
                known.begin() +
                    static_cast<std::ptrdiff_t>(turn % known.size()),
                known.end());
    return *std::max_element(
        known.begin(), known.end(), [](const source& one, const source& other) {
            return std::tie(one.configuration_revision,
                            one.change_revision,
                            one.near) < std::tie(other.configuration_revision,
                                                 other.change_revision,
                                                 other.near);
        });
}

bool peer_table::has_reader_nearby(base::instant now) const
{
    return std::any_of(
        this->peers.begin(), this->peers.end(), [&](const auto& entry) {
            const peer& one = entry.second;
            return entry.first < this->own && one.near && !one.stopping &&
                   is_alive(one, now);
        });
}

} // namespace greengagedrum::gossip
