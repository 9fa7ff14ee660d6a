// Sends one request to an entry on a connection of its own, and checks what
// comes back.
#pragma once

#include <greengagedrum/relay/message_reader.hpp>

#include "coroutine.hpp"
#include "ledger.hpp"

#include <cstdint>
#include <functional>
#include <string>

namespace soak
{

enum class manner : std::uint8_t {
    reading,
    not_reading, // for some seconds, then reads on
    leaving      // closes before the response
};

struct request_plan {
    std::string attempt;
    std::string route; // "/once/", "/again/", "/east/" or "/stream/"
    std::size_t sent = 0;
    std::size_t size = 0; // of the response's body
    manner behaviour = manner::reading;

    bool stream() const { return this->route == "/stream/"; }
    bool repeatable() const { return this->route != "/once/"; }
};

enum class ending : std::uint8_t {
    whole,
    cut, // the connection ended before the response did
    late // no response within `caller_patience`
};

struct outcome {
    ending how = ending::cut;
    unsigned status = 0;
    clock::time_point began;
};

class caller
{
public:
    using told = std::function<void(const request_plan&, const outcome&)>;

    caller(asio::io_context& context,
           const tcp::endpoint& entry,
           ledger& ledger,
           told tell);

    task send(request_plan plan);

private:
    struct received {
        greengagedrum::relay::answer_reader reader{false};
        std::string body;
        std::string rest;
        bool ended = false;
    };
    asio::awaitable<bool> read(tcp::socket& from, received& into_) const;
    void check(const request_plan& plan, received& response) const;

    asio::io_context& context;
    tcp::endpoint entry;
    ledger& records;
    told tell;
};

} // namespace soak
