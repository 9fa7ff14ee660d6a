// Sends requests to one entry, each on a connection of its own, and checks
// what comes back.
#pragma once

#include "prompt_source.hpp"
#include "upstream.hpp"

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
    std::string route; // "/once/", "/again/", "/east/", "/book/" or "/stream/"
    body_sizes sizes;
    prompt announced{};
    bool crashing = false; // its prompt has the crashing part
    manner behaviour = manner::reading;

    bool stream() const { return this->route == "/stream/"; }
    bool repeatable() const
    {
        return this->route != "/once/" && this->route != "/book/";
    }
};

struct outcome {
    unsigned status = 0; // 0: the response is not whole
    bool late = false;   // and nobody waits for it any more
    clock::time_point began;
};

class caller
{
public:
    using told = std::function<void(const request_plan&, const outcome&)>;

    caller(asio::io_context& context,
           const tcp::endpoint& entry,
           ledger& ledger,
           told tell)
        : context(context), entry(entry), records(ledger), tell(std::move(tell))
    {
    }

    task send(request_plan plan);

private:
    struct response {
        greengagedrum::relay::answer_reader reader{false};
        std::string body;
        std::string rest;
    };
    // False: the connection ended before the response did.
    asio::awaitable<bool> read(tcp::socket& from, response& what) const;
    void check(const request_plan& plan, const response& what) const;

    asio::io_context& context;
    tcp::endpoint entry;
    ledger& records;
    told tell;
};

} // namespace soak
