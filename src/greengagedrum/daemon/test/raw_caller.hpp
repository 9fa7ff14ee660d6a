// A caller that speaks bytes, for what no HTTP client would send: half a
// request, garbage, an end in mid-stream. Owns its socket.
#pragma once

#include <greengagedrum/base/ip_address.hpp>

#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <string>
#include <string_view>

namespace greengagedrum::daemon
{

class raw_caller
{
public:
    // With `receive_buffer` bytes of room for what is not yet read, if given.
    explicit raw_caller(const std::string& address, int receive_buffer = 0)
        : descriptor(::socket(AF_INET, SOCK_STREAM, 0))
    {
        if (receive_buffer > 0)
            ::setsockopt(this->descriptor,
                         SOL_SOCKET,
                         SO_RCVBUF,
                         &receive_buffer,
                         sizeof(receive_buffer));
        const auto place = base::parse_endpoint_or_unusable(address);
        sockaddr_in to{};
        to.sin_family = AF_INET;
        to.sin_port = htons(place.port);
        ::inet_pton(AF_INET, place.ip.c_str(), &to.sin_addr);
        REQUIRE(::connect(this->descriptor,
                          reinterpret_cast<const sockaddr*>(&to),
                          sizeof(to)) == 0);
    }
    ~raw_caller() { this->vanish(); }
    raw_caller(const raw_caller&) = delete;
    raw_caller& operator=(const raw_caller&) = delete;

    void send(std::string_view bytes) const
    {
        ::send(this->descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    }

    void half_close() const { ::shutdown(this->descriptor, SHUT_WR); }

    void vanish()
    {
        if (this->descriptor >= 0)
            ::close(this->descriptor);
        this->descriptor = -1;
    }

    // Closes with a reset, as a caller that crashes with data unread.
    void reset()
    {
        const linger at_once{1, 0};
        ::setsockopt(
            this->descriptor, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
        this->vanish();
    }

    // Reads until `wanted` has come, the end, or 20 s; all that came so far.
    const std::string& read_until(std::string_view wanted)
    {
        std::array<char, 4096> buffer{};
        while (this->got.find(wanted) == std::string::npos) {
            pollfd entry{this->descriptor, POLLIN, 0};
            if (::poll(&entry, 1, 20'000) <= 0)
                break;
            const ssize_t count =
                ::recv(this->descriptor, buffer.data(), buffer.size(), 0);
            if (count <= 0)
                break;
            this->got.append(buffer.data(), static_cast<std::size_t>(count));
        }
        return this->got;
    }

    const std::string& read_all() { return this->read_until("\x01never"); }

private:
    int descriptor;
    std::string got;
};

} // namespace greengagedrum::daemon
