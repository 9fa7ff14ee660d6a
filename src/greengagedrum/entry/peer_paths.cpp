#include <greengagedrum/entry/peer_paths.hpp>

#include <algorithm>
#include <tuple>
#include <utility>

namespace greengagedrum::entry
{

namespace
{

// One upstream that can't be reached is taken for that upstream's fault.
constexpr std::size_t failures_least = 2;

// Failures further apart say nothing about the entry.
constexpr base::duration failure_max_age = std::chrono::seconds(3);

constexpr base::duration check_interval = std::chrono::milliseconds(250);

// A peer that could not help is left alone for this time, unless it connected
// another send lately: then the upstream is at fault.
constexpr base::duration peer_pause = std::chrono::milliseconds(1000);
constexpr base::duration peer_trust = std::chrono::milliseconds(1000);

} // namespace

peer_paths::peer_use::peer_use(std::shared_ptr<std::size_t> counted,
                               std::string address)
    : users(std::move(counted)), ip(std::move(address))
{
    *this->users += 1;
}

peer_paths::peer_use& peer_paths::peer_use::operator=(peer_use&& from) noexcept
{
    this->reset();
    this->users = std::move(from.users);
    this->ip = std::move(from.ip);
    return *this;
}

void peer_paths::peer_use::reset()
{
    if (this->users)
        *this->users -= 1;
    this->users.reset();
    this->ip.clear();
}

bool peer_paths::is_cut_off(base::upstream_class_id service) const
{
    const auto found = this->services.find(service);
    return found != this->services.end() && found->second.cut_off;
}

void peer_paths::on_connected(base::upstream_class_id service,
                              base::instant sent_at)
{
    const auto found = this->services.find(service);
    if (found == this->services.end() || sent_at < found->second.failing_since)
        return;
    const bool was_cut_off = found->second.cut_off;
    this->services.erase(found);
    if (was_cut_off)
        this->events.on_change(service, false);
}

// A service with a single upstream is judged by the others too.
bool peer_paths::fails_elsewhere(base::upstream_class_id service) const
{
    return std::any_of(
        this->services.begin(), this->services.end(), [&](const auto& one) {
            return one.first != service && one.second.cut_off;
        });
}

void peer_paths::on_connect_failed(base::upstream_class_id service,
                                   base::upstream_id upstream,
                                   base::instant sent_at)
{
    const base::instant now = this->now();
    service_state& state = this->services[service];
    if (state.cut_off)
        return;
    std::erase_if(state.failures, [&](const failure& one) {
        return now - one.at > failure_max_age || one.upstream == upstream;
    });
    if (state.failures.empty())
        state.failing_since = sent_at;
    state.failures.push_back({upstream, now});
    if (state.failures.size() < failures_least &&
        !this->fails_elsewhere(service))
        return;
    state.cut_off = true;
    state.checked_at = now;
    this->events.on_change(service, true);
}

std::vector<base::upstream_class_id> peer_paths::services_to_check()
{
    const base::instant now = this->now();
    std::vector<base::upstream_class_id> out;
    for (auto& [service, state] : this->services) {
        if (!state.cut_off || now - state.checked_at < check_interval)
            continue;
        state.checked_at = now;
        out.push_back(service);
    }
    return out;
}

bool peer_paths::is_avoided(const peer_state& peer,
                            base::upstream_class_id service) const
{
    const auto found = peer.services.find(service);
    return found != peer.services.end() &&
           this->now() < found->second.avoided_until;
}

std::optional<base::ip_endpoint>
peer_paths::choose_peer(base::upstream_class_id service,
                        const routing::data_centre_constraint& allowed,
                        std::span<const base::ip_endpoint> tried) const
{
    // So many sends more are worth a peer in the own data centre.
    constexpr std::size_t distance_worth = 4;
    std::optional<base::ip_endpoint> best;
    std::tuple<bool, bool, std::size_t, std::size_t> best_cost;
    for (const reachable_peer& one : this->events.live_peers()) {
        const auto known = this->peers.find(one.address.ip);
        const bool avoided = known != this->peers.end() &&
                             this->is_avoided(known->second, service);
        const bool used_before =
            std::find(tried.begin(), tried.end(), one.address) != tried.end();
        if (avoided || used_before || !allowed.allows(one.data_centre))
            continue;
        const std::size_t users =
            known == this->peers.end() ? 0 : *known->second.users;
        const std::tuple cost{
            one.in_other_region,
            one.congested,
            users + (one.in_own_data_centre ? 0 : distance_worth),
            std::hash<std::string>{}(this->own_instance + one.address.ip)};
        if (best && cost >= best_cost)
            continue;
        best = one.address;
        best_cost = cost;
    }
    return best;
}

peer_paths::peer_use peer_paths::use_peer(const base::ip_endpoint& address)
{
    return {this->peers[address.ip].users, address.ip};
}

void peer_paths::on_peer_connected(const base::ip_endpoint& address,
                                   base::upstream_class_id service)
{
    this->peers[address.ip].services[service].connected_at = this->now();
}

void peer_paths::on_peer_failed(const base::ip_endpoint& address,
                                base::upstream_class_id service,
                                relay::tunnel_failure why)
{
    peer_service_state& state = this->peers[address.ip].services[service];
    const base::instant now = this->now();
    const bool trusted = now - state.connected_at <= peer_trust;
    if (why != relay::tunnel_failure::upstream_unreachable || !trusted)
        state.avoided_until = now + peer_pause;
}

} // namespace greengagedrum::entry
