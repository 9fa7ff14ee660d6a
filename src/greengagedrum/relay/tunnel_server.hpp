// Connects peers that have lost their own path to upstreams.
//
// It listens at the port that only peers use. A connection asks for one
// upstream by its id and carries one request to it; the upstream's address is
// the one that this entry knows. The connection is made directly, so a request
// takes one hop at most.
#pragma once

#include <greengagedrum/relay/bounded_acceptor.hpp>
#include <greengagedrum/relay/tunnel.hpp>
#include <greengagedrum/relay/tunnel_codec.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_set>

namespace greengagedrum::relay
{

// What was made of one peer's connection, for the log.
struct tunnel_outcome {
    std::string peer; // its address
    tunnel_request asked;
    tunnel_verdict verdict = tunnel_verdict::rejected;
    std::optional<tunnel::totals> totals; // set once the tunnel has ended
};

class tunnel_server
{
public:
    struct owner {
        // Whether an entry lives at that address.
        std::function<bool(const std::string& ip)> is_peer;
        // The upstream's address; empty if this entry does not connect to it.
        std::function<std::optional<base::ip_endpoint>(base::upstream_id)>
            find_upstream;
        std::function<void(const tunnel_outcome&)> on_outcome;
    };

    // Serves at most `connections_max` connections. Throws
    // boost::system::system_error when the address can't be had.
    tunnel_server(asio::io_context& context,
                  const base::ip_endpoint& address,
                  std::size_t connections_max,
                  owner callbacks);
    ~tunnel_server();
    tunnel_server(const tunnel_server&) = delete;
    tunnel_server& operator=(const tunnel_server&) = delete;

    // Connections in use.
    std::size_t active() const { return this->connections.size(); }

private:
    class connection;
    using connection_ptr = std::shared_ptr<connection>;

    acceptor_events make_acceptor_events(std::size_t connections_max);

    asio::io_context& context;
    bounded_acceptor acceptor;
    owner events;
    std::unordered_set<connection_ptr> connections;
};

} // namespace greengagedrum::relay
