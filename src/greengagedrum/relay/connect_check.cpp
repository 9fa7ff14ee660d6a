#include <greengagedrum/relay/connect_check.hpp>

namespace greengagedrum::relay
{

namespace
{

// A connect takes some milliseconds within a region.
constexpr auto connect_most = std::chrono::milliseconds(250);

} // namespace

connect_check::connect_check(asio::io_context& context, answer tell)
    : socket(context), timer(context), tell(std::move(tell))
{
}

void connect_check::start(const base::ip_endpoint& address,
                          base::duration delay)
{
    this->timer.expires_after(delay);
    this->timer.async_wait([self = this->shared_from_this(),
                            to = tcp_endpoint(address)](error_code fault) {
        if (!fault)
            self->connect(to);
    });
}

void connect_check::connect(const tcp::endpoint& to)
{
    this->timer.expires_after(connect_most);
    this->timer.async_wait([self = this->shared_from_this()](error_code fault) {
        if (!fault)
            self->end(false);
    });
    this->socket.async_connect(
        to, [self = this->shared_from_this()](error_code fault) {
            if (fault != asio::error::operation_aborted)
                self->end(!fault);
        });
}

void connect_check::end(bool accepted)
{
    if (!this->tell)
        return;
    const answer told = std::exchange(this->tell, nullptr);
    this->timer.cancel();
    error_code ignored; // nothing was sent on it
    this->socket.close(ignored);
    told(accepted);
}

} // namespace greengagedrum::relay
