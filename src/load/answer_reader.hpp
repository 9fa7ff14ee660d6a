// Reads the answer to one try, stream or not, and takes its times.
#pragma once

#include <greengagedrum/http/event_stream.hpp>
#include <load/answer.hpp>

#include <nlohmann/json_fwd.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace load
{

// The parts of a response's head that the reader needs.
struct response_head {
    int status = 0;
    std::string content_type;
    std::string verdict; // headers, empty when absent
    std::string ticket;
    std::string retry_after; // seconds
};

// Turns the bytes of one response into an `answer`. It knows no socket and
// reads no clock, so that tests feed it cut and crossed answers. What only the
// prompt can tell (is the text ours, is it long enough) is `check_answer`'s.
class answer_reader
{
public:
    // Microseconds since the try was sent.
    using elapsed = std::chrono::microseconds;

    // `service`: a 200 holds the service's own JSON, not text and digest.
    explicit answer_reader(bool service);
    answer_reader(const answer_reader&) = delete;
    answer_reader& operator=(const answer_reader&) = delete;

    void begin(const response_head& received);

    // False when reading on is of no use (a bound was passed).
    bool feed(std::string_view bytes, elapsed now);

    // `complete`: the connection delivered the response to its last byte.
    answer finish(bool complete);

private:
    bool take_event(const greengagedrum::http::server_event& event);
    void take_token(const nlohmann::json& token);
    void take_restart();
    void take_end(const nlohmann::json& end);
    void finish_stream(bool complete);
    void finish_json();
    void finish_service();
    void finish_error();
    void add(fault found);

    bool service;
    response_head head;
    bool streamed = false;
    bool ended = false; // the `end` event came
    std::string body;   // when not streamed
    std::uint64_t events = 0;
    elapsed now{0};
    elapsed last_token{0};
    answer result;
    greengagedrum::http::event_stream reader;
};

// Verdict and reason as words; lost when the word is none of them.
ending ending_of(std::string_view verdict);
std::string_view to_string(ending value);
std::string_view to_string(fault value);

} // namespace load
