// A caller of an entry whose configuration a test changes.
#pragma once

#include <greengagedrum/base/ip_address.hpp>
#include <greengagedrum/relay/asio.hpp>

#include <string>
#include <string_view>

namespace greengagedrum::entry
{

// What a caller got for a request.
struct caller_outcome {
    int status = 0;
    bool whole = false;
    bool closes = false; // the answer says that the connection closes
    std::string body;

    // An answer of the entry itself which says that no upstream ran it.
    bool says_not_run() const;
};

// A caller's connection, which fails instead of blocking for ever.
class change_caller
{
public:
    explicit change_caller(const base::ip_endpoint& entry_address);

    void write(std::string_view bytes);
    caller_outcome read_answer();

private:
    relay::asio::io_context context;
    relay::tcp::socket socket;
    std::string unread;
};

} // namespace greengagedrum::entry
