// One caller's connections to the entries.
#pragma once

#include <load/answer.hpp>
#include <load/question.hpp>

#include <chrono>
#include <memory>
#include <span>
#include <string>
#include <vector>

namespace httplib
{
class Client;
struct Request;
} // namespace httplib

namespace load
{

// How a request is named to the entry; empty members are not sent.
struct request_names {
    std::string key;
    std::string ticket;
};

// Sends one try at a time and waits for its end. It holds a connection to each
// entry it has used, and belongs to one thread. It never comes back by itself:
// that is `retry_rule`'s to decide.
class caller
{
public:
    // `grace`: how long beyond the deadline an answer is waited for.
    caller(std::span<const std::string> entries,
           std::chrono::milliseconds grace);
    ~caller();
    caller(const caller&) = delete;
    caller& operator=(const caller&) = delete;

    // One try at the entry of this index. `left`: until the deadline.
    answer ask(std::size_t entry,
               const question& asked,
               const request_names& names,
               std::chrono::milliseconds left);

    // Takes a ticket: `answered` with `ticket` set, or how it failed. Nothing
    // of the request itself has been sent, so a failure is never uncertain.
    answer take_ticket(std::size_t entry,
                       const question& asked,
                       std::chrono::milliseconds left);

private:
    httplib::Client& client(std::size_t entry, std::chrono::milliseconds left);

    std::vector<std::string> entries;
    std::chrono::milliseconds grace;
    std::vector<std::unique_ptr<httplib::Client>> clients;
};

} // namespace load
