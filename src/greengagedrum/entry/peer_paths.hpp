// Whether this entry still reaches the upstreams of a service, and the peers
// through which it sends requests while it doesn't.
//
// The entry doubts itself once it has failed to connect to two upstreams and
// connected to none since the first of these. From then on its sends go through
// peers, chosen by how many sends use them already, then by distance; peers of
// other regions only if none of the own region can help. A connect
// check to the upstreams in turn ends this as soon as one of them accepts.
#pragma once

#include <greengagedrum/base/ids.hpp>
#include <greengagedrum/base/ip_address.hpp>
#include <greengagedrum/base/time.hpp>
#include <greengagedrum/relay/tunnel_client.hpp>
#include <greengagedrum/routing/data_centre_constraint.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace greengagedrum::entry
{

// A live peer that takes connections.
struct reachable_peer {
    base::ip_endpoint address;
    base::data_centre_id data_centre;
    bool in_own_data_centre = false;
    bool in_other_region = false;
    bool congested = false;
};

class peer_paths
{
public:
    struct owner {
        std::function<base::instant()> clock;
        std::function<std::vector<reachable_peer>()> live_peers;
        // The state of a service has changed.
        std::function<void(base::upstream_class_id, bool cut_off)> on_change;
        // A direct connect to the upstream took that long.
        std::function<void(base::upstream_id, base::duration)>
            on_connect_timed = [](base::upstream_id, base::duration) {};
        // The peer at that address has announced that it stops.
        std::function<bool(const std::string& ip)> is_stopping =
            [](const std::string&) { return false; };
        // A send has moved bytes, through the peer at that address or directly.
        std::function<void(
            base::data_centre_id, const std::string& peer, std::uint64_t)>
            on_bytes_moved =
                [](base::data_centre_id, const std::string&, std::uint64_t) {};
    };

    // Counts one send that uses a peer, for as long as it lives.
    class peer_use
    {
    public:
        peer_use() = default;
        peer_use(std::shared_ptr<std::size_t> users, std::string address);
        ~peer_use() { this->reset(); }
        peer_use(peer_use&& from) noexcept = default;
        peer_use& operator=(peer_use&& from) noexcept;
        peer_use(const peer_use&) = delete;
        peer_use& operator=(const peer_use&) = delete;

        void reset();
        // Empty while no peer is used.
        const std::string& address() const { return this->ip; }

    private:
        std::shared_ptr<std::size_t> users;
        std::string ip;
    };

    peer_paths(std::string instance, std::string ip, owner callbacks)
        : own_instance(std::move(instance)), ip(std::move(ip)),
          events(std::move(callbacks))
    {
    }

    const std::string& instance() const { return this->own_instance; }
    const std::string& own_ip() const { return this->ip; }
    base::instant now() const { return this->events.clock(); }

    bool is_cut_off(base::upstream_class_id service) const;

    // Results of this entry's own connects, begun at `sent_at`.
    void on_connected(base::upstream_class_id service, base::instant sent_at);
    void on_connect_failed(base::upstream_class_id service,
                           base::upstream_id upstream,
                           base::instant sent_at);

    void record_connect_time(base::upstream_id upstream,
                             base::instant sent_at) const
    {
        this->events.on_connect_timed(upstream, this->now() - sent_at);
    }
    void record_bytes(const std::string& data_centre,
                      const std::string& peer,
                      std::uint64_t bytes) const
    {
        this->events.on_bytes_moved(
            base::data_centre_id(data_centre), peer, bytes);
    }

    bool is_stopping(const std::string& peer) const
    {
        return this->events.is_stopping(peer);
    }

    // Services that are cut off and due a connect check.
    std::vector<base::upstream_class_id> services_to_check();

    std::optional<base::ip_endpoint>
    choose_peer(base::upstream_class_id service,
                const routing::data_centre_constraint& allowed,
                std::span<const base::ip_endpoint> tried) const;
    peer_use use_peer(const base::ip_endpoint& address);
    void on_peer_connected(const base::ip_endpoint& address,
                           base::upstream_class_id service);
    void on_peer_failed(const base::ip_endpoint& address,
                        base::upstream_class_id service,
                        relay::tunnel_failure why);

private:
    struct failure {
        base::upstream_id upstream;
        base::instant at;
    };

    struct service_state {
        std::vector<failure> failures; // since the last successful connect
        base::instant failing_since;   // begin of the first of them
        base::instant checked_at;
        bool cut_off = false;
    };

    // What a peer has done for sends to one service.
    struct peer_service_state {
        base::instant avoided_until;
        base::instant connected_at;
    };

    struct peer_state {
        std::shared_ptr<std::size_t> users = std::make_shared<std::size_t>(0);
        std::map<base::upstream_class_id, peer_service_state> services;
    };

    bool is_avoided(const peer_state& peer,
                    base::upstream_class_id service) const;
    bool fails_elsewhere(base::upstream_class_id service) const;

    std::string own_instance;
    std::string ip;
    owner events;
    std::map<base::upstream_class_id, service_state> services;
    std::map<std::string, peer_state> peers; // by IP address
};

} // namespace greengagedrum::entry
