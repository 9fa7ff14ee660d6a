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
    if (address != this->own_address)
        this->peers[address].seed = true;
}

peer_update peer_table::on_message(const message& told, base::instant now)
{
    // An address may be another process of ours at this very place, before a
    // restart: its messages are not to be taken for a peer's.
    if (told.address == this->own_address)
        return peer_update::outdated;
    peer& one = this->peers[told.address];
    const bool known = one.heard_at.has_value();
    const bool same_life = known && one.incarnation == told.incarnation;
    if (same_life && told.sequence <= one.sequence)
        return peer_update::outdated;
    const bool was_alive = one.reported_live;
    one.instance = told.instance;
    one.in_own_data_centre = told.data_centre == this->data_centre;
    one.data_centre = base::data_centre_id(told.data_centre);
    one.cpu_millicores = told.cpu_millicores;
    one.incarnation = told.incarnation;
    one.sequence = told.sequence;
    one.heard_at = now;
    one.reported_live = true;
    one.stopping = told.stopping;
    one.configuration_revision = told.configuration_revision;
    one.change_revision = told.change_revision;
    one.store_revision = told.store_revision;
    for (const known_entry& named : told.known_entries) {
        if (named.address != this->own_address && named.age < forgotten_after)
            this->peers[named.address].learned_at = now;
    }
    if (known && !same_life)
        return peer_update::restarted;
    return was_alive ? peer_update::none : peer_update::found;
}

std::vector<ipv4_address> peer_table::select_recipients(recipient_group who,
                                                        base::instant now)
{
    const bool near = who == recipient_group::own_data_centre;
    std::vector<ipv4_address> out;
    for (auto& [address, one] : this->peers) {
        const bool alive = is_alive(one, now);
        if ((alive && one.in_own_data_centre) != near)
            continue;
        if (!alive) {
            if (now - one.probed_at < retry_period)
                continue;
            one.probed_at = now;
        }
        out.push_back(address);
    }
    std::erase_if(this->peers, [&](const auto& entry) {
        const peer& one = entry.second;
        const base::instant last = one.heard_at.value_or(one.learned_at);
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

std::vector<known_entry> peer_table::select_known_entries(recipient_group who,
                                                          base::instant now)
{
    std::vector<known_entry> out;
    base::instant& named_at = who == recipient_group::own_data_centre
                                  ? this->shared_with_own_data_centre_at
                                  : this->shared_with_others_at;
    if (now - named_at < naming_gap)
        return out;
    named_at = now;
    auto next = this->peers.lower_bound(this->next_address_to_share);
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
    this->next_address_to_share = next == this->peers.end() ? 0 : next->first;
    return out;
}

std::vector<std::string> peer_table::take_newly_silent(base::instant now)
{
    std::vector<std::string> out;
    for (auto& [address, one] : this->peers) {
        if (!one.reported_live || is_alive(one, now))
            continue;
        one.reported_live = false;
        out.push_back(one.instance);
    }
    return out;
}

std::size_t peer_table::live_count(base::instant now) const
{
    std::size_t count = 0;
    for (const auto& [address, one] : this->peers)
        count += is_alive(one, now) && !one.stopping ? 1 : 0;
    return count;
}

std::size_t peer_table::never_heard_count() const
{
    return static_cast<std::size_t>(std::count_if(
        this->peers.begin(), this->peers.end(), [](const auto& entry) {
            return !entry.second.heard_at;
        }));
}

bool peer_table::has_never_heard_seed() const
{
    return std::any_of(
        this->peers.begin(), this->peers.end(), [](const auto& entry) {
            return entry.second.seed && !entry.second.heard_at;
        });
}

std::size_t peer_table::live_count_in_data_centre(base::instant now) const
{
    return static_cast<std::size_t>(std::count_if(
        this->peers.begin(), this->peers.end(), [&](const auto& entry) {
            return entry.second.in_own_data_centre &&
                   is_alive(entry.second, now);
        }));
}

std::size_t peer_table::recently_live_count(base::instant now) const
{
    std::size_t count = 0;
    for (const auto& [address, one] : this->peers)
        count += one.heard_at && now - *one.heard_at <= lately ? 1 : 0;
    return count;
}

peer_table::address_rank
peer_table::rank_in_data_centre(base::instant now) const
{
    address_rank out;
    for (const auto& [address, one] : this->peers) {
        if (!one.in_own_data_centre || !one.heard_at ||
            now - *one.heard_at > lately)
            continue;
        out.entry_count += 1;
        out.lower_count += address < this->own_address ? 1 : 0;
    }
    return out;
}

std::optional<peer_table::store_source>
peer_table::newest_store_source(base::instant now, std::uint64_t turn) const
{
    std::vector<store_source> known;
    for (const auto& [address, one] : this->peers) {
        if (is_alive(one, now) && one.store_revision > 0)
            known.push_back({address,
                             one.in_own_data_centre,
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
        known.begin(),
        known.end(),
        [](const store_source& one, const store_source& other) {
            return std::tie(one.configuration_revision,
                            one.change_revision,
                            one.in_own_data_centre) <
                   std::tie(other.configuration_revision,
                            other.change_revision,
                            other.in_own_data_centre);
        });
}

bool peer_table::has_store_reader_in_data_centre(base::instant now) const
{
    return std::any_of(
        this->peers.begin(), this->peers.end(), [&](const auto& entry) {
            const peer& one = entry.second;
            return entry.first < this->own_address && one.in_own_data_centre &&
                   !one.stopping && is_alive(one, now);
        });
}

} // namespace greengagedrum::gossip
