// Answers short questions without a body: readiness, peers' questions, metrics,
// operators.
#pragma once

#include <greengagedrum/relay/bounded_acceptor.hpp>
#include <greengagedrum/relay/caller_connection.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_set>

namespace greengagedrum::relay
{

struct small_question {
    std::string_view method;
    std::string_view target;
};

struct small_answer {
    unsigned status = 200;
    std::string type = "text/plain";
    std::string body;
};

class small_server
{
public:
    using handler = std::function<small_answer(const small_question&)>;

    // Throws boost::system::system_error when the address can't be had.
    // Keeps at most `connections_max` connections.
    small_server(asio::io_context& context,
                 const base::ip_endpoint& address,
                 std::size_t connections_max,
                 std::function<base::instant()> clock,
                 handler answer);

    // The listening address, with the actual port if it was configured as 0.
    base::ip_endpoint address() const { return this->acceptor.address(); }

    // Closes what is idle or too slow.
    void check_time(base::instant now);

    void stop() { this->acceptor.close(); }

    // Bytes of answers that have not been sent.
    std::size_t unsent_bytes() const;

private:
    acceptor_events make_acceptor_events(std::size_t connections_max);
    void on_request(const caller_ptr& from);

    bounded_acceptor acceptor;
    handler answer;
    caller_events events;
    std::unordered_set<caller_ptr> callers;
};

} // namespace greengagedrum::relay
