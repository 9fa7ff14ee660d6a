#include <greengagedrum/base/ip_address.hpp>
#include <greengagedrum/peers/tcp.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <cstring>

namespace greengagedrum::peers
{

namespace
{

struct socket_address {
    sockaddr_storage storage{};
    socklen_t size = 0; // zero: no address

    const sockaddr* get() const
    {
        return reinterpret_cast<const sockaddr*>(&this->storage);
    }
    sockaddr* get() { return reinterpret_cast<sockaddr*>(&this->storage); }
};

socket_address parse_address(std::string_view text)
{
    const base::ip_endpoint endpoint = base::parse_endpoint_or_unusable(text);
    const auto port = htons(static_cast<std::uint16_t>(endpoint.port));
    socket_address out;
    sockaddr_in four{};
    if (inet_pton(AF_INET, endpoint.ip.c_str(), &four.sin_addr) == 1) {
        four.sin_family = AF_INET;
        four.sin_port = port;
        std::memcpy(&out.storage, &four, sizeof(four));
        out.size = sizeof(four);
        return out;
    }
    sockaddr_in6 six{};
    if (inet_pton(AF_INET6, endpoint.ip.c_str(), &six.sin6_addr) == 1) {
        six.sin6_family = AF_INET6;
        six.sin6_port = port;
        std::memcpy(&out.storage, &six, sizeof(six));
        out.size = sizeof(six);
    }
    return out;
}

void set_option(const descriptor& socket, int level, int name, int value)
{
    ::setsockopt(socket.get(), level, name, &value, sizeof(value));
}

// Guards against two ways in which small frames come late: Nagle's algorithm
// holds them back for an acknowledgement, and a deep send queue in the kernel
// puts a heartbeat behind megabytes on a slow path.
void prepare(const descriptor& socket)
{
    constexpr int unsent_max = 32 * 1024;
    set_option(socket, IPPROTO_TCP, TCP_NODELAY, 1);
    set_option(socket, IPPROTO_TCP, TCP_NOTSENT_LOWAT, unsent_max);
}

descriptor open_socket(const socket_address& address)
{
    if (address.size == 0)
        return {};
    constexpr int type = SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC;
    return descriptor(::socket(address.storage.ss_family, type, 0));
}

} // namespace

descriptor listen_at(std::string_view address)
{
    constexpr int backlog = 512; // all peers come at once after a cut
    const socket_address where = parse_address(address);
    descriptor out = open_socket(where);
    if (!out)
        return {};
    set_option(out, SOL_SOCKET, SO_REUSEADDR, 1);
    if (::bind(out.get(), where.get(), where.size) != 0)
        return {};
    if (::listen(out.get(), backlog) != 0)
        return {};
    return out;
}

descriptor begin_connect(std::string_view address)
{
    const socket_address where = parse_address(address);
    descriptor out = open_socket(where);
    if (!out)
        return {};
    prepare(out);
    if (::connect(out.get(), where.get(), where.size) != 0 &&
        errno != EINPROGRESS)
        return {};
    return out;
}

bool connected(const descriptor& socket)
{
    int error = 0;
    socklen_t size = sizeof(error);
    const int got =
        ::getsockopt(socket.get(), SOL_SOCKET, SO_ERROR, &error, &size);
    return got == 0 && error == 0;
}

descriptor accept_from(const descriptor& listener)
{
    descriptor out(::accept4(
        listener.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (out)
        prepare(out);
    return out;
}

std::string local_address(const descriptor& socket)
{
    socket_address own;
    own.size = sizeof(own.storage);
    if (::getsockname(socket.get(), own.get(), &own.size) != 0)
        return {};
    std::array<char, INET6_ADDRSTRLEN> text{};
    if (own.storage.ss_family == AF_INET) {
        sockaddr_in four{};
        std::memcpy(&four, &own.storage, sizeof(four));
        inet_ntop(AF_INET, &four.sin_addr, text.data(), text.size());
        return std::string(text.data()) + ":" +
               std::to_string(ntohs(four.sin_port));
    }
    sockaddr_in6 six{};
    std::memcpy(&six, &own.storage, sizeof(six));
    inet_ntop(AF_INET6, &six.sin6_addr, text.data(), text.size());
    return "[" + std::string(text.data()) +
           "]:" + std::to_string(ntohs(six.sin6_port));
}

} // namespace greengagedrum::peers
