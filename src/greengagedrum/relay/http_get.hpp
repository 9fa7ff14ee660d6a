// Asks one server after another with GET, one question at a time, over a
// connection that is kept while it answers.
//
// The one client of the store and of peers' control addresses.
#pragma once

#include <greengagedrum/base/time.hpp>
#include <greengagedrum/relay/asio.hpp>
#include <greengagedrum/relay/message_reader.hpp>

#include <tl/expected.hpp>

#include <array>
#include <functional>
#include <memory>
#include <string>

namespace greengagedrum::relay
{

struct fetched {
    unsigned status = 0;
    std::string body;
};

// Failure guarded against: an answer that would take an instance's memory. A
// page of the store holds about a megabyte.
inline constexpr std::size_t fetched_bytes_most = 16U << 20U;
inline constexpr std::string_view too_large = "answer too large";

// Time limits of an answer. An answer that goes on arriving is worth waiting
// for: giving it up would cost the link the same bytes again.
struct answer_limits {
    base::duration silence{0}; // without any byte of it
    base::duration total{0};
};

class http_get : public std::enable_shared_from_this<http_get>
{
public:
    // An error is a sentence for the log.
    using answer = std::function<void(tl::expected<fetched, std::string>)>;

    explicit http_get(asio::io_context& context);

    // A question still under way is dropped without an answer.
    void ask(const base::ip_endpoint& server,
             const std::string& target,
             const answer_limits& limits,
             answer tell);

    void stop();

private:
    void connect();
    void write();
    void read(std::uint64_t question);
    void on_read(error_code fault, std::size_t count);
    void finish(tl::expected<fetched, std::string> result);
    void disconnect();
    void start_timer();
    asio::steady_timer::time_point gives_up_at() const;
    std::string timeout_text() const;

    asio::io_context& context;
    tcp::socket socket;
    asio::steady_timer timer; // until the answer has taken too long
    answer_limits limits;
    asio::steady_timer::time_point asked_at;
    asio::steady_timer::time_point received_at; // the newest bytes
    base::ip_endpoint server;
    std::string text;
    std::array<char, read_bytes> arrived{};
    std::string inbox;
    std::string body;
    std::unique_ptr<answer_reader> reader;
    answer tell;
    std::uint64_t number = 0; // of the question; late events are of older ones
    bool connected = false;
};

} // namespace greengagedrum::relay
