#include <greengagedrum/relay/small_server.hpp>
#include <greengagedrum/relay/tunnel_server.hpp>

#include <vector>

namespace greengagedrum::relay
{

namespace
{

// Each takes two descriptors and 32 KiB. What this entry's own callers need is
// kept free.
constexpr std::size_t connections_most = 128;

constexpr auto request_timeout = std::chrono::milliseconds(500);
// As for the entry's own requests.
constexpr auto connect_timeout = std::chrono::milliseconds(250);

} // namespace

// One connection of a peer, from its request to the end of its tunnel.
class tunnel_server::connection
    : public std::enable_shared_from_this<connection>
{
public:
    connection(tunnel_server& server, tcp::socket socket)
        : server(server), peer(std::move(socket)), upstream(server.context),
          timer(server.context)
    {
    }

    void start()
    {
        error_code fault;
        const tcp::endpoint remote = this->peer.remote_endpoint(fault);
        if (fault)
            return this->end();
        this->outcome.peer = remote.address().to_string();
        if (!this->server.events.is_peer(this->outcome.peer))
            return this->end();
        this->start_timer(request_timeout);
        this->read();
    }

    void abort()
    {
        if (const auto passing = this->passing.lock())
            passing->abort();
        this->end();
    }

private:
    void start_timer(std::chrono::milliseconds after)
    {
        this->timer.expires_after(after);
        this->timer.async_wait(
            [self = this->shared_from_this()](error_code fault) {
                if (fault || self->over)
                    return;
                if (self->connecting)
                    self->on_connected(asio::error::timed_out);
                else
                    self->end();
            });
    }

    void read()
    {
        this->peer.async_read_some(asio::buffer(this->arrived),
                                   [self = this->shared_from_this()](
                                       error_code fault, std::size_t count) {
                                       if (self->over)
                                           return;
                                       if (fault)
                                           return self->end();
                                       self->inbox.append(self->arrived.data(),
                                                          count);
                                       self->on_bytes();
                                   });
    }

    void on_bytes()
    {
        const auto size = tunnel_frame_size(this->inbox);
        if (size && *size > tunnel_frame_most)
            return this->end();
        if (!size || this->inbox.size() < *size)
            return this->read();
        auto asked = decode_tunnel_request(
            std::string_view(this->inbox).substr(0, *size));
        if (!asked)
            return this->end();
        this->inbox.erase(0, *size);
        this->outcome.asked = std::move(*asked);
        const auto address = this->server.connections.size() > connections_most
                                 ? std::nullopt
                                 : this->server.events.find_upstream(
                                       this->outcome.asked.upstream);
        if (!address)
            return this->reply(tunnel_verdict::rejected);
        this->connecting = true;
        this->start_timer(connect_timeout);
        this->upstream.async_connect(
            tcp_endpoint(*address),
            [self = this->shared_from_this()](error_code fault) {
                if (!self->over && self->connecting)
                    self->on_connected(fault);
            });
    }

    void on_connected(error_code fault)
    {
        this->connecting = false;
        this->timer.cancel();
        this->reply(fault ? tunnel_verdict::unreachable
                          : tunnel_verdict::connected);
    }

    void reply(tunnel_verdict verdict)
    {
        this->timer.cancel();
        this->outcome.verdict = verdict;
        this->text = encode(verdict);
        asio::async_write(
            this->peer,
            asio::buffer(this->text),
            [self = this->shared_from_this()](error_code fault, std::size_t) {
                if (!self->over)
                    self->on_replied(fault);
            });
    }

    void on_replied(error_code fault)
    {
        this->server.events.on_outcome(this->outcome);
        if (fault || this->outcome.verdict != tunnel_verdict::connected)
            return this->end();
        const auto fresh = std::make_shared<tunnel>(
            std::move(this->peer),
            std::move(this->upstream),
            [self = this->shared_from_this()](const tunnel::totals& totals) {
                self->outcome.totals = totals;
                self->server.events.on_outcome(self->outcome);
                self->end();
            });
        this->passing = fresh;
        fresh->start(std::move(this->inbox));
    }

    void end()
    {
        if (this->over)
            return;
        this->over = true;
        this->timer.cancel();
        error_code ignored; // closed either way
        this->peer.close(ignored);
        this->upstream.close(ignored);
        this->server.connections.erase(this->shared_from_this());
        this->server.acceptor.resume();
    }

    tunnel_server& server;
    tcp::socket peer;
    tcp::socket upstream;
    asio::steady_timer timer;
    std::array<char, tunnel_frame_most> arrived{};
    std::string inbox;
    std::string text; // the reply
    tunnel_outcome outcome;
    std::weak_ptr<tunnel> passing;
    bool connecting = false;
    bool over = false;
};

tunnel_server::tunnel_server(asio::io_context& context,
                             const base::ip_endpoint& address,
                             std::size_t connections_max,
                             owner callbacks)
    : context(context),
      acceptor(context, this->make_acceptor_events(connections_max)),
      events(std::move(callbacks))
{
    this->acceptor.listen(address);
}

tunnel_server::~tunnel_server()
{
    // A socket that is destroyed while open closes in order.
    const std::vector<connection_ptr> all(this->connections.begin(),
                                          this->connections.end());
    for (const connection_ptr& one : all)
        one->abort();
}

acceptor_events tunnel_server::make_acceptor_events(std::size_t connections_max)
{
    acceptor_events out;
    out.has_room = [this, connections_max] {
        return this->connections.size() < connections_max;
    };
    out.full = [] {}; // none of them is idle
    out.accepted = [this](tcp::socket socket) {
        const auto fresh =
            std::make_shared<connection>(*this, std::move(socket));
        this->connections.insert(fresh);
        fresh->start();
    };
    out.failed = [](const error_code&) {}; // callers' port logs the shortage
    return out;
}

} // namespace greengagedrum::relay
