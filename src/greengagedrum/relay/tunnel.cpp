#include <greengagedrum/relay/tunnel.hpp>

#include <algorithm>

namespace greengagedrum::relay
{

namespace
{

// A caller may read slowly; a peer without power takes nothing any more.
constexpr std::chrono::seconds write_timeout{30};

// Until the peer closes after the last byte of an answer.
constexpr std::chrono::seconds close_timeout{2};

} // namespace

tunnel::tunnel(tcp::socket peer,
               tcp::socket upstream,
               std::function<void(const totals&)> ended)
    : peer(std::move(peer)), upstream(std::move(upstream)),
      timer(this->peer.get_executor()), ended(std::move(ended))
{
}

void tunnel::start(std::string first)
{
    error_code ignored; // without it the connection is slower, no more
    this->peer.set_option(tcp::no_delay(true), ignored);
    this->upstream.set_option(tcp::no_delay(true), ignored);
    // Whatever ends the tunnel but a close of the upstream, the end of this
    // process included, must not look like the end of an answer.
    this->peer.set_option(asio::socket_base::linger(true, 0), ignored);
    this->read_upstream();
    if (first.empty())
        return this->read_peer();
    first.resize(std::min(first.size(), this->from_peer.size()));
    std::copy(first.begin(), first.end(), this->from_peer.begin());
    this->write_upstream(first.size());
}

void tunnel::abort()
{
    this->end("aborted");
}

void tunnel::start_timer(std::chrono::seconds within)
{
    this->timer.expires_after(within);
    this->timer.async_wait([self = this->shared_from_this()](error_code fault) {
        if (!fault)
            self->end("no progress");
    });
}

void tunnel::read_peer()
{
    this->peer.async_read_some(
        asio::buffer(this->from_peer),
        [self = this->shared_from_this()](error_code fault, std::size_t count) {
            if (self->over)
                return;
            // The request is over or was given up.
            if (fault)
                return self->end(fault == asio::error::eof ? std::string()
                                                           : fault.message());
            self->write_upstream(count);
        });
}

void tunnel::write_upstream(std::size_t count)
{
    // What follows is read and dropped, so that the peer's end is noticed.
    if (this->upstream_write_failed)
        return this->read_peer();
    asio::async_write(this->upstream,
                      asio::buffer(this->from_peer, count),
                      [self = this->shared_from_this()](error_code fault,
                                                        std::size_t written) {
                          if (self->over)
                              return;
                          self->count.to_upstream += written;
                          // The upstream may have answered before; its end
                          // follows.
                          self->upstream_write_failed =
                              static_cast<bool>(fault);
                          self->read_peer();
                      });
}

void tunnel::read_upstream()
{
    this->upstream.async_read_some(
        asio::buffer(this->from_upstream),
        [self = this->shared_from_this()](error_code fault, std::size_t count) {
            if (self->over)
                return;
            if (fault)
                return self->on_upstream_end(fault);
            self->write_peer(count);
        });
}

void tunnel::write_peer(std::size_t count)
{
    this->start_timer(write_timeout);
    asio::async_write(this->peer,
                      asio::buffer(this->from_upstream, count),
                      [self = this->shared_from_this()](error_code fault,
                                                        std::size_t written) {
                          if (self->over)
                              return;
                          self->timer.cancel();
                          self->count.to_peer += written;
                          if (fault)
                              return self->end(fault.message());
                          self->read_upstream();
                      });
}

// A reset that a failed write has reported shows as an orderly close on the
// read.
void tunnel::on_upstream_end(error_code fault)
{
    if (fault != asio::error::eof)
        return this->end(fault.message());
    if (this->upstream_write_failed)
        return this->end("reset during a write");
    error_code ignored; // the peer may have closed first
    this->peer.shutdown(tcp::socket::shutdown_send, ignored);
    this->peer.set_option(asio::socket_base::linger(false, 0), ignored);
    this->start_timer(close_timeout);
}

void tunnel::end(const std::string& error)
{
    if (this->over)
        return;
    this->over = true;
    this->timer.cancel();
    this->count.error = error;
    error_code ignored; // closed either way
    this->peer.close(ignored);
    this->upstream.close(ignored);
    const auto tell = std::exchange(this->ended, nullptr);
    if (tell)
        tell(this->count);
}

} // namespace greengagedrum::relay
