// The platform's HTTP headers, read into and written from our own types.
#pragma once

#include <greengagedrum/base/time.hpp>
#include <greengagedrum/relay/message_head.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace greengagedrum::platform
{

// What a caller's headers say of its request.
struct request_marks {
    std::string attempt; // the caller's id of this try; empty: none
    std::string key;     // empty: none
    std::optional<base::duration> time_left; // how long the caller will wait
    std::optional<std::uint32_t> prompt_tokens;
    std::uint32_t output_tokens = 0; // the most that may be generated
    std::optional<std::uint32_t> expected_tokens; // the caller's guess of it
    std::optional<std::string> resume_after;      // the last event that it has
    // The id of the try that brought the first event of the stream that this
    // one takes up. Empty: not named.
    std::optional<std::string> resumed_attempt;
    // Ids of the parts of its prompt that other requests may have as well.
    std::vector<std::string> shared_prompt_parts;
};

// A fault is a sentence for the caller's 400.
std::optional<std::string> read_request_marks(const relay::request_head& head,
                                              request_marks& out);

// False for what is never passed to an upstream as the caller sent it: the
// key, and headers that only this system may set.
bool passes_to_upstream(std::string_view name);

// True for what must reach the upstream whatever the caller's Connection
// header names.
bool always_passes(std::string_view name);

// The last event of a stream that its reader has.
inline constexpr std::string_view resume_header = "Last-Event-Id";

// What this system tells an upstream beside the caller's own headers.
struct upstream_marks {
    std::string upstream;  // the one it is meant for
    std::string workspace; // empty: none
    base::duration time_left{0};
    std::string resume_after; // empty: from the start
};

void write_upstream_marks(const upstream_marks& marks, std::string& head);

// What an upstream's answer says beside its status.
struct answer_marks {
    std::string attempt;
    bool has_signature = false; // made by an upstream
    bool not_run = false;       // the upstream promises that it did not run it
    // Requests a second that the upstream accepts from all entries together.
    // Empty: not announced.
    std::optional<double> rate_limit;
    // Announced more than once, or not as a positive number.
    bool rate_limit_invalid = false;
    // After which the upstream closes the connection if it stays idle. Empty:
    // not announced, or not readable.
    std::optional<base::duration> idle_timeout;
    bool closes_connection = false; // after this answer
};

answer_marks read_answer_marks(const relay::answer_head& head);

// The status by which an upstream says that it isn't the one that was meant.
inline constexpr unsigned misdirected_status = 421;

} // namespace greengagedrum::platform
