#include <greengagedrum/relay/kept_connections.hpp>

#include <algorithm>
#include <array>

namespace greengagedrum::relay
{

namespace
{

// Whether nothing has arrived on an open connection, not even its end. The
// event loop may not have run the handler for what has arrived.
bool is_silent(tcp::socket& socket)
{
    error_code fault;
    socket.non_blocking(true, fault);
    if (fault)
        return false;
    std::array<char, 1> byte{};
    socket.receive(asio::buffer(byte), tcp::socket::message_peek, fault);
    return fault == asio::error::would_block;
}

} // namespace

kept_connections::kept_connections(asio::io_context& context, std::size_t most)
    : context(context), most(most)
{
}

void kept_connections::keep(const kept_target& to,
                            tcp::socket connection,
                            base::duration time)
{
    if (this->most == 0)
        return;
    const auto same_upstream = [&](const idle_connection& one) {
        return one.target.upstream == to.upstream;
    };
    this->counts.closed_unused += std::erase_if(this->idle, same_upstream);
    if (this->idle.size() >= this->most) {
        this->idle.pop_back();
        this->counts.closed_unused += 1;
    }
    idle_connection& kept = this->idle.emplace_front(
        idle_connection{this->next_number++,
                        to,
                        std::move(connection),
                        asio::steady_timer(this->context, time)});
    this->counts.kept += 1;
    this->watch(kept);
    this->on_change();
}

// The handlers know the connection by its number: they may run after it was
// taken or closed.
void kept_connections::watch(idle_connection& one)
{
    one.timer.async_wait([this, number = one.number](error_code fault) {
        if (fault != asio::error::operation_aborted)
            this->close_number(number);
    });
    one.socket.async_wait(tcp::socket::wait_read,
                          [this, number = one.number](error_code fault) {
                              if (fault != asio::error::operation_aborted)
                                  this->close_number(number);
                          });
}

std::optional<tcp::socket> kept_connections::take(const kept_target& to)
{
    const auto found = std::find_if(
        this->idle.begin(), this->idle.end(), [&](const idle_connection& one) {
            return one.target == to;
        });
    if (found == this->idle.end())
        return std::nullopt;
    // The timer's handler may be late.
    const bool in_time =
        asio::steady_timer::clock_type::now() < found->timer.expiry();
    error_code fault;
    found->socket.cancel(fault); // ends the wait
    tcp::socket socket = std::move(found->socket);
    this->idle.erase(found);
    const bool usable = in_time && !fault && is_silent(socket);
    this->counts.reused += usable ? 1 : 0;
    this->counts.closed_unused += usable ? 0 : 1;
    this->on_change();
    if (!usable)
        return std::nullopt;
    return socket;
}

template <class Condition>
void kept_connections::close_if(Condition matches)
{
    const std::size_t closed = std::erase_if(this->idle, matches);
    this->counts.closed_unused += closed;
    if (closed > 0)
        this->on_change();
}

void kept_connections::close_number(std::uint64_t number)
{
    this->close_if(
        [&](const idle_connection& one) { return one.number == number; });
}

void kept_connections::close(base::upstream_id upstream)
{
    this->close_if([&](const idle_connection& one) {
        return one.target.upstream == upstream;
    });
}

void kept_connections::close_other_addresses(const kept_target& current)
{
    this->close_if([&](const idle_connection& one) {
        return one.target.upstream == current.upstream &&
               one.target.address != current.address;
    });
}

void kept_connections::shut_down()
{
    this->most = 0;
    this->close_if([](const idle_connection&) { return true; });
}

std::vector<base::upstream_id>
kept_connections::freshest(std::size_t count) const
{
    std::vector<base::upstream_id> out;
    for (const idle_connection& one : this->idle) {
        if (out.size() == count)
            break;
        out.push_back(one.target.upstream);
    }
    return out;
}

} // namespace greengagedrum::relay
