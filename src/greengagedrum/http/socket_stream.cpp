#include <greengagedrum/http/socket_stream.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstring>

namespace greengagedrum::http
{

namespace
{

bool wait_for(socket_t socket, short event, std::chrono::milliseconds patience)
{
    pollfd entry{socket, event, 0};
    int ready = 0;
    do {
        ready = ::poll(&entry, 1, static_cast<int>(patience.count()));
    } while (ready < 0 && errno == EINTR);
    return ready > 0;
}

using name_call = int (*)(int, sockaddr*, socklen_t*);

void read_name(socket_t socket, name_call call, std::string& ip, int& port)
{
    sockaddr_in name{};
    socklen_t length = sizeof(name);
    std::array<char, INET_ADDRSTRLEN> text{};
    if (call(socket, reinterpret_cast<sockaddr*>(&name), &length) != 0)
        return;
    if (!::inet_ntop(AF_INET, &name.sin_addr, text.data(), text.size()))
        return;
    ip = text.data();
    port = ntohs(name.sin_port);
}

} // namespace

socket_stream::socket_stream(socket_t connection,
                             std::chrono::milliseconds read_patience,
                             std::chrono::milliseconds write_patience)
    : descriptor(connection), read_timeout(read_patience),
      write_timeout(write_patience)
{
}

void socket_stream::begin_request(std::size_t bytes, clock::time_point limit)
{
    this->bytes_left = bytes;
    this->read_limit = limit;
    this->over = false;
}

bool socket_stream::open() const
{
    char peeked = 0;
    const ssize_t count =
        ::recv(this->descriptor, &peeked, 1, MSG_PEEK | MSG_DONTWAIT);
    return count > 0 ||
           (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK));
}

void socket_stream::discard_until(clock::time_point limit) const
{
    std::array<char, buffer_size> dropped{};
    while (clock::now() < limit) {
        const auto left =
            std::chrono::ceil<std::chrono::milliseconds>(limit - clock::now());
        if (!wait_for(this->descriptor, POLLIN, left))
            return;
        const ssize_t count = ::recv(
            this->descriptor, dropped.data(), dropped.size(), MSG_DONTWAIT);
        if (count <= 0)
            return;
    }
}

bool socket_stream::wait_readable(std::chrono::milliseconds patience) const
{
    if (this->begin < this->end)
        return true;
    return wait_for(this->descriptor, POLLIN, patience);
}

bool socket_stream::is_readable() const
{
    if (this->read_limit == clock::time_point::max())
        return this->wait_readable(this->read_timeout);
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(
        this->read_limit - clock::now());
    return this->wait_readable(
        std::clamp(left, std::chrono::milliseconds(0), this->read_timeout));
}

bool socket_stream::is_writable() const
{
    if (!wait_for(this->descriptor, POLLOUT, this->write_timeout))
        return false;
    return this->open();
}

ssize_t socket_stream::read(char* out, std::size_t size)
{
    // httplib reads headers byte by byte: the clock is asked once a buffer.
    const bool empty = this->begin == this->end;
    if (this->bytes_left == 0 || (empty && clock::now() >= this->read_limit)) {
        this->over = true;
        return -1;
    }
    if (empty) {
        if (!this->is_readable())
            return -1;
        ssize_t count = 0;
        do {
            count =
                ::recv(this->descriptor, this->buffer.data(), buffer_size, 0);
        } while (count < 0 && errno == EINTR);
        if (count <= 0)
            return count;
        this->begin = 0;
        this->end = static_cast<std::size_t>(count);
    }
    const std::size_t taken =
        std::min({size, this->end - this->begin, this->bytes_left});
    std::memcpy(out, this->buffer.data() + this->begin, taken);
    this->begin += taken;
    this->bytes_left -= taken;
    return static_cast<ssize_t>(taken);
}

ssize_t socket_stream::write(const char* data, std::size_t size)
{
    if (!wait_for(this->descriptor, POLLOUT, this->write_timeout))
        return -1;
    ssize_t count = 0;
    do {
        count =
            ::send(this->descriptor, data, size, MSG_NOSIGNAL | MSG_DONTWAIT);
    } while (count < 0 && errno == EINTR);
    return count;
}

void socket_stream::get_remote_ip_and_port(std::string& ip, int& port) const
{
    read_name(this->descriptor, ::getpeername, ip, port);
}

void socket_stream::get_local_ip_and_port(std::string& ip, int& port) const
{
    read_name(this->descriptor, ::getsockname, ip, port);
}

} // namespace greengagedrum::http
