#include <greengagedrum/http/listen_server.hpp>
#include <greengagedrum/http/server.hpp>

#include <arpa/inet.h>

#include <charconv>

namespace greengagedrum::http
{

namespace
{

constexpr int port_max = 65535;

// The port of "IP:port", or -1 when either part is malformed.
int parse_port(std::string_view text)
{
    int port = -1;
    const char* end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, port);
    if (error != std::errc{} || stop != end)
        return -1;
    return port >= 0 && port <= port_max ? port : -1;
}

bool is_ip(const std::string& text)
{
    in_addr parsed{};
    return ::inet_pton(AF_INET, text.c_str(), &parsed) == 1;
}

} // namespace

server::server(const server_settings& settings)
    : inner(std::make_unique<listen_server>(settings))
{
}

server::~server()
{
    this->kill();
}

httplib::Server& server::routes()
{
    return *this->inner;
}

bool server::start(std::string_view address)
{
    const std::size_t colon = address.rfind(':');
    if (colon == std::string_view::npos || this->bound_port != 0)
        return false;
    const std::string ip(address.substr(0, colon));
    const int wanted = parse_port(address.substr(colon + 1));
    if (wanted < 0 || !is_ip(ip))
        return false;
    const int bound = this->inner->bind(ip, wanted);
    if (bound <= 0)
        return false;
    this->bound_ip = ip;
    this->bound_port = bound;
    this->accepting = std::thread([this] { this->inner->serve(); });
    return true;
}

std::string server::address() const
{
    return this->bound_ip + ":" + std::to_string(this->bound_port);
}

void server::stop(std::chrono::milliseconds patience)
{
    if (!this->accepting.joinable())
        return;
    this->inner->stop_accepting();
    this->inner->wait_closed(patience);
    this->inner->abort_connections();
    this->accepting.join();
}

void server::stop_accepting()
{
    this->inner->stop_accepting();
}

void server::abort_connections()
{
    this->inner->abort_connections();
}

void server::abort_connection(const httplib::Request& request)
{
    this->inner->abort_connection(request);
}

std::size_t server::open_connections()
{
    return this->inner->open_connections();
}

} // namespace greengagedrum::http
