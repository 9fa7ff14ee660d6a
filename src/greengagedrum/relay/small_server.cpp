#include <greengagedrum/relay/small_server.hpp>

#include <vector>

namespace greengagedrum::relay
{

namespace
{

constexpr int backlog = 1024;
// Each member of a data centre keeps a connection to its dispatcher. With the
// callers' own connections this stays below an instance's 4,100 descriptors.
constexpr std::size_t callers_most = 512;

} // namespace

tcp::acceptor listen_on(asio::io_context& context,
                        const base::ip_endpoint& address)
{
    const tcp::endpoint endpoint = tcp_endpoint(address);
    tcp::acceptor out(context);
    out.open(endpoint.protocol());
    out.set_option(tcp::acceptor::reuse_address(true));
    out.bind(endpoint);
    out.listen(backlog);
    return out;
}

small_server::small_server(asio::io_context& context,
                           const base::ip_endpoint& address,
                           std::function<base::instant()> clock,
                           handler answer)
    : acceptor(listen_on(context, address)), answer(std::move(answer))
{
    this->events.request = [this](const caller_ptr& from, base::duration) {
        this->on_request(from);
    };
    this->events.left = [](const caller_ptr&) {};
    this->events.refused = [](const read_fault&) {};
    this->events.closed = [this](const caller_ptr& from) {
        this->callers.erase(from);
    };
    this->events.clock = std::move(clock);
    this->accept();
}

void small_server::accept()
{
    this->acceptor.async_accept([this](error_code fault, tcp::socket socket) {
        if (fault == asio::error::operation_aborted)
            return;
        if (!fault && this->callers.size() < callers_most) {
            const auto fresh = std::make_shared<caller_connection>(
                std::move(socket), this->events, caller_bounds());
            this->callers.insert(fresh);
            fresh->start();
        }
        this->accept();
    });
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

base::ip_endpoint small_server::address() const
{
    const tcp::endpoint local = this->acceptor.local_endpoint();
    return {local.address().to_string(), local.port()};
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

void small_server::stop()
{
    error_code ignored; // closed either way
    this->acceptor.close(ignored);
}

} // namespace greengagedrum::relay
