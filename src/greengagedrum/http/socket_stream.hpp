// One accepted connection as httplib's request code reads and writes it.
//
// Reads are buffered, since httplib reads headers byte by byte. One stream
// lives as long as its connection, so that bytes of a next request are kept.
// It does not own the socket.
//
// Failures guarded against: a caller that sends a byte now and then holds its
// thread for as long as it likes, since each read stays within its time-out;
// and one that sends headers or chunks without end fills the memory. So a
// request as a whole has a deadline and a bound in bytes.
#pragma once

#include <httplib.h>

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace greengagedrum::http
{

class socket_stream final : public httplib::Stream
{
public:
    using clock = std::chrono::steady_clock;

    socket_stream(socket_t connection,
                  std::chrono::milliseconds read_patience,
                  std::chrono::milliseconds write_patience);

    // From here on at most `bytes` are read, until `limit` at the latest; a
    // read beyond either fails.
    void begin_request(std::size_t bytes, clock::time_point limit);

    // True once a read has met a bound of begin_request.
    bool bound_met() const { return this->over; }

    // False once the other end has closed its sending side. Returns at once.
    bool open() const;

    // Reads and drops what still comes, until its end or `limit`.
    void discard_until(clock::time_point limit) const;

    // True when bytes (or the end) arrive within `patience`.
    bool wait_readable(std::chrono::milliseconds patience) const;

    bool is_readable() const override;

    // False also when the other end has closed: a handler that streams asks
    // this to learn that its caller is gone.
    bool is_writable() const override;
    ssize_t read(char* out, std::size_t size) override;
    ssize_t write(const char* data, std::size_t size) override;
    void get_remote_ip_and_port(std::string& ip, int& port) const override;
    void get_local_ip_and_port(std::string& ip, int& port) const override;
    socket_t socket() const override { return this->descriptor; }

private:
    static constexpr std::size_t buffer_size = 4096;

    socket_t descriptor;
    std::chrono::milliseconds read_timeout;
    std::chrono::milliseconds write_timeout;
    std::array<char, buffer_size> buffer{};
    std::size_t bytes_left = SIZE_MAX; // of the request being read
    clock::time_point read_limit = clock::time_point::max();
    bool over = false;
    std::size_t begin = 0; // of the bytes read but not yet taken
    std::size_t end = 0;
};

} // namespace greengagedrum::http
