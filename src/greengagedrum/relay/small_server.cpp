#include <greengagedrum/relay/small_server.hpp>

#include <vector>

namespace greengagedrum::relay
{

small_server::small_server(asio::io_context& context,
                           const base::ip_endpoint& address,
                           std::size_t connections_max,
                           std::function<base::instant()> clock,
                           handler answer)
    : acceptor(context, this->make_acceptor_events(connections_max)),
      answer(std::move(answer))
{
    this->events.request = [this](const caller_ptr& from, base::duration) {
        this->on_request(from);
    };
    this->events.left = [](const caller_ptr&) {};
    this->events.refused = [](const read_fault&) {};
    this->events.closed = [this](const caller_ptr& from) {
        this->callers.erase(from);
        this->acceptor.resume();
    };
    this->events.clock = std::move(clock);
    this->acceptor.listen(address);
}

acceptor_events small_server::make_acceptor_events(std::size_t connections_max)
{
    acceptor_events out;
    out.has_room = [this, connections_max] {
        return this->callers.size() < connections_max;
    };
    out.full = [this] { close_longest_idle(this->callers); };
    out.accepted = [this](tcp::socket socket) {
        const auto fresh = std::make_shared<caller_connection>(
            std::move(socket), this->events, caller_bounds());
        this->callers.insert(fresh);
        fresh->start();
    };
    out.failed = [](const error_code&) {}; // callers' port logs the shortage
    return out;
}

void small_server::on_request(const caller_ptr& from)
{
    const small_answer given =
        this->answer({from->head().method, from->head().target});
    std::string head = "HTTP/1.1 " + std::to_string(given.status) +
                       (given.status == status_ok ? " OK" : " Unavailable") +
                       "\r\nContent-Type: " + given.type + "\r\n";
    from->answer(std::move(head), given.body);
}

void small_server::check_time(base::instant now)
{
    const std::vector<caller_ptr> all(this->callers.begin(),
                                      this->callers.end());
    for (const caller_ptr& one : all)
        one->check_time(now, caller_bounds());
}

std::size_t small_server::unsent_bytes() const
{
    std::size_t out = 0;
    for (const caller_ptr& one : this->callers)
        out += one->unsent_on_link();
    return out;
}

} // namespace greengagedrum::relay
