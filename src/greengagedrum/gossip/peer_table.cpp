#include <greengagedrum/gossip/peer_table.hpp>

#include <algorithm>
#include <tuple>

namespace greengagedrum::gossip
{

namespace
{

// A live entry sends at least five times a second; seven messages in a row are
// not lost by chance. From another region the timeout covers three messages.
constexpr base::duration liveness_timeout = std::chrono::milliseconds(1500);

// After a network partition an entry is counted for so long as one that may
// come back.
constexpr base::duration recently_live_window = std::chrono::seconds(10);

// Interval at which silent peers are probed: a seed that was down, or an entry
// behind a partition that has healed.
constexpr base::duration probe_interval = std::chrono::milliseconds(500);

// An entry that nobody has heard from for so long is removed, unless it is a
// seed.
constexpr base::duration forget_timeout = std::chrono::seconds(60);

// Lets a new entry learn of dozens of others within its first seconds.
constexpr std::size_t max_listed_entries = 8;
constexpr base::duration share_interval = std::chrono::milliseconds(150);

} // namespace

bool peer_table::is_live(const peer& known_peer, base::instant now)
{
    return known_peer.received_at &&
           now - *known_peer.received_at <= liveness_timeout;
}

void peer_table::add_seed(ipv4_address address)
{
    if (address != this->own_address)
        this->peers[address].seed = true;
}

peer_update peer_table::on_message(const message& received, base::instant now)
{
    // A message from the own address comes from an earlier process of this
    // entry, before a restart, and not from a peer.
    if (received.address == this->own_address)
        return peer_update::outdated;
    peer& known_peer = this->peers[received.address];
    const bool heard_before = known_peer.received_at.has_value();
    const bool same_incarnation =
        heard_before && known_peer.incarnation == received.incarnation;
    if (same_incarnation && received.sequence <= known_peer.sequence)
        return peer_update::outdated;
    // Numbers don't tell which process is the later one: the clock may have
    // been set back in between.
    if (received.incarnation == known_peer.former_incarnation &&
        is_live(known_peer, now))
        return peer_update::outdated;
    if (heard_before && !same_incarnation)
        known_peer.former_incarnation = known_peer.incarnation;
    const bool was_live = known_peer.reported_live;
    known_peer.instance = received.instance;
    known_peer.in_own_data_centre = received.data_centre == this->data_centre;
    known_peer.data_centre = base::data_centre_id(received.data_centre);
    known_peer.across_regions = received.accepts_compressed &&
                                this->regions.to(known_peer.data_centre) ==
                                    routing::distance::other_region;
    known_peer.cpu_millicores = received.cpu_millicores;
    known_peer.incarnation = received.incarnation;
    known_peer.sequence = received.sequence;
    known_peer.received_at = now;
    known_peer.reported_live = true;
    known_peer.stopping = received.stopping;
    known_peer.configuration_revision = received.configuration_revision;
    known_peer.change_revision = received.change_revision;
    known_peer.store_revision = received.store_revision;
    for (const known_entry& listed : received.known_entries) {
        if (listed.address != this->own_address && listed.age < forget_timeout)
            this->peers[listed.address].learned_at = now;
    }
    if (heard_before && !same_incarnation)
        return peer_update::restarted;
    return was_live ? peer_update::none : peer_update::found;
}

std::vector<located_entry> peer_table::serving_peers(base::instant now) const
{
    std::vector<located_entry> out;
    for (const auto& [address, one] : this->peers) {
        if (is_live(one, now) && !one.stopping)
            out.push_back({address, one.data_centre});
    }
    return out;
}

base::incarnation peer_table::incarnation_of(ipv4_address address) const
{
    const auto found = this->peers.find(address);
    return found == this->peers.end() ? base::incarnation()
                                      : found->second.incarnation;
}

bool peer_table::is_stopping(ipv4_address address) const
{
    const auto found = this->peers.find(address);
    return found != this->peers.end() && found->second.stopping;
}

peer_table::peers_by_liveness peer_table::by_liveness(base::instant now) const
{
    peers_by_liveness out;
    std::size_t nearby = 0;
    for (const auto& [address, one] : this->peers) {
        if (!is_live(one, now)) {
            out.silent.push_back(address);
        } else if (one.in_own_data_centre && !one.stopping) {
            out.live.insert(out.live.begin() +
                                static_cast<std::ptrdiff_t>(nearby++),
                            address);
        } else if (!one.stopping) {
            out.live.push_back(address);
        }
    }
    return out;
}

recipient_group peer_table::group_of(const peer& known_peer, base::instant now)
{
    if (!is_live(known_peer, now))
        return recipient_group::other_data_centres;
    if (known_peer.in_own_data_centre)
        return recipient_group::own_data_centre;
    return known_peer.across_regions ? recipient_group::other_regions
                                     : recipient_group::other_data_centres;
}

std::vector<ipv4_address> peer_table::select_recipients(recipient_group group,
                                                        base::instant now)
{
    std::vector<ipv4_address> out;
    for (auto& [address, known_peer] : this->peers) {
        if (group_of(known_peer, now) != group)
            continue;
        if (!is_live(known_peer, now)) {
            if (now - known_peer.probed_at < probe_interval)
                continue;
            known_peer.probed_at = now;
        }
        out.push_back(address);
    }
    std::erase_if(this->peers, [&](const auto& entry) {
        const peer& known_peer = entry.second;
        const base::instant last =
            known_peer.received_at.value_or(known_peer.learned_at);
        return !known_peer.seed && now - last > forget_timeout;
    });
    return out;
}

std::vector<ipv4_address> peer_table::silent_seeds(base::instant now) const
{
    std::vector<ipv4_address> out;
    for (const auto& [address, known_peer] : this->peers) {
        if (known_peer.seed && !is_live(known_peer, now))
            out.push_back(address);
    }
    return out;
}

std::vector<known_entry> peer_table::select_known_entries(recipient_group group,
                                                          base::instant now)
{
    std::vector<known_entry> out;
    base::instant& last_shared_at =
        this->shared_at.at(static_cast<std::size_t>(group));
    if (now - last_shared_at < share_interval)
        return out;
    last_shared_at = now;
    auto next = this->peers.lower_bound(this->next_address_to_share);
    for (std::size_t visited = 0; visited < this->peers.size(); ++visited) {
        if (next == this->peers.end())
            next = this->peers.begin();
        if (next->second.received_at)
            out.push_back({next->first,
                           now - *next->second.received_at,
                           next->second.data_centre,
                           next->second.cpu_millicores});
        ++next;
        if (out.size() == max_listed_entries)
            break;
    }
    this->next_address_to_share = next == this->peers.end() ? 0 : next->first;
    return out;
}

std::vector<std::string> peer_table::take_newly_silent(base::instant now)
{
    std::vector<std::string> out;
    for (auto& [address, known_peer] : this->peers) {
        if (!known_peer.reported_live || is_live(known_peer, now))
            continue;
        known_peer.reported_live = false;
        out.push_back(known_peer.instance);
    }
    return out;
}

std::size_t peer_table::live_count(base::instant now) const
{
    std::size_t count = 0;
    for (const auto& [address, known_peer] : this->peers)
        count += is_live(known_peer, now) && !known_peer.stopping ? 1 : 0;
    return count;
}

std::size_t peer_table::never_heard_count() const
{
    return static_cast<std::size_t>(std::count_if(
        this->peers.begin(), this->peers.end(), [](const auto& entry) {
            return !entry.second.received_at;
        }));
}

bool peer_table::has_never_heard_seed() const
{
    return std::any_of(
        this->peers.begin(), this->peers.end(), [](const auto& entry) {
            return entry.second.seed && !entry.second.received_at;
        });
}

std::size_t peer_table::live_count_in_data_centre(base::instant now) const
{
    return static_cast<std::size_t>(std::count_if(
        this->peers.begin(), this->peers.end(), [&](const auto& entry) {
            return entry.second.in_own_data_centre &&
                   is_live(entry.second, now);
        }));
}

std::size_t peer_table::recently_live_count(base::instant now) const
{
    std::size_t count = 0;
    for (const auto& [address, known_peer] : this->peers)
        count += known_peer.received_at &&
                         now - *known_peer.received_at <= recently_live_window
                     ? 1
                     : 0;
    return count;
}

peer_table::address_rank
peer_table::rank_in_data_centre(base::instant now) const
{
    address_rank out;
    for (const auto& [address, known_peer] : this->peers) {
        if (!known_peer.in_own_data_centre || !known_peer.received_at ||
            now - *known_peer.received_at > recently_live_window)
            continue;
        out.entry_count += 1;
        out.lower_count += address < this->own_address ? 1 : 0;
    }
    return out;
}

std::optional<peer_table::store_source>
peer_table::newest_store_source(base::instant now, std::uint64_t turn) const
{
    std::vector<store_source> sources;
    for (const auto& [address, known_peer] : this->peers) {
        if (is_live(known_peer, now) && known_peer.store_revision > 0)
            sources.push_back({address,
                               known_peer.in_own_data_centre,
                               known_peer.configuration_revision,
                               known_peer.change_revision,
                               known_peer.store_revision});
    }
    if (sources.empty())
        return std::nullopt;
    std::rotate(sources.begin(),
                sources.begin() +
                    static_cast<std::ptrdiff_t>(turn % sources.size()),
                sources.end());
    return *std::max_element(
        sources.begin(),
        sources.end(),
        [](const store_source& left, const store_source& right) {
            return std::tie(left.configuration_revision,
                            left.change_revision,
                            left.in_own_data_centre) <
                   std::tie(right.configuration_revision,
                            right.change_revision,
                            right.in_own_data_centre);
        });
}

bool peer_table::has_store_reader_in_data_centre(base::instant now) const
{
    return std::any_of(
        this->peers.begin(), this->peers.end(), [&](const auto& entry) {
            const peer& known_peer = entry.second;
            return entry.first < this->own_address &&
                   known_peer.in_own_data_centre && !known_peer.stopping &&
                   is_live(known_peer, now);
        });
}

} // namespace greengagedrum::gossip
