// The connection that one caller's thread is reading, so that the decision
// thread can break it.
//
// Failure guarded against: a connection silent for good. Its reader sits in a
// blocking read that no byte will end; only another thread can.
#pragma once

#include <httplib.h>

#include <cstdint>
#include <mutex>

namespace greengagedrum::upstreams
{

class running_call
{
public:
    // The caller's thread announces the connection that it is about to use,
    // and end()s it before it goes away. False when a stop that covers this
    // number came first: the connection is then not to be used.
    bool begin(httplib::Client& client, std::uint32_t connection);
    void end();

    // Breaks the connection under way, if its number is at most `connection`,
    // and lets none of these numbers begin.
    void stop(std::uint32_t connection, bool cancel);

    bool stopped(std::uint32_t connection) const;

    // True when a stop asked that the upstream be told to end the stream.
    bool cancelled(std::uint32_t connection) const;

private:
    mutable std::mutex mutex;
    httplib::Client* client = nullptr;
    std::uint32_t current = 0;
    std::uint32_t stopped_through = 0;
    std::uint32_t cancelled_through = 0;
};

} // namespace greengagedrum::upstreams
