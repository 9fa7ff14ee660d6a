// The messages between a dispatcher and its members.
//
// A dispatcher dispatches the requests of all entries of its data centre; the
// others are its members. A member stays responsible for its requests: it holds
// the caller's connection, sends to the upstream that the dispatcher names, and
// alone decides what may be sent again. Each message carries the whole state,
// so that the next one makes up for a lost one.
#pragma once

#include <greengagedrum/base/ids.hpp>
#include <greengagedrum/base/time.hpp>
#include <greengagedrum/base/verdict.hpp>
#include <greengagedrum/traffic/messages.hpp>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace greengagedrum::dispatch
{

// Interval at which a message is sent again until its receiver has shown that
// it arrived: a few round trips, and less than the run time of the shortest
// requests, during which a granted slot would be idle.
inline constexpr base::duration resend_interval = std::chrono::milliseconds(25);

// Identifies one send of a request, by the numbers that its member gave.
struct send_id {
    base::request_id request;
    std::uint32_t send = 0;
    auto operator<=>(const send_id&) const = default;
};

// A send that waits for a slot.
struct slot_request {
    send_id id;
    traffic::request_facts facts; // times count from now
    std::vector<base::upstream_id> tried_upstreams;
    double cost = 0;      // against its workspace's limit
    bool charged = false; // the limit was charged for it before
};

struct running_send {
    send_id id;
    base::upstream_id upstream;
    std::uint32_t pending_prefill_tokens = 0;
};

enum class send_status : std::uint8_t {
    first_event,
    completed,     // the whole answer has been received
    error_answer,  // an answer that reports an error
    not_sent,      // no connection
    rejected_full, // rejected by the upstream without a run
    misdirected,   // another upstream answered at the address
    connection_broken,
    reused_connection_lost, // a kept one, before any byte of the answer
    write_stalled, // the upstream took no byte of the request for too long
};

struct send_status_update {
    // Increases by one with each update of an incarnation.
    std::uint64_t sequence = 0;
    send_id id;
    send_status status = send_status::first_event;
};

// Most upstreams to which a member reports an idle connection. At 15 requests
// a second, kept for 0.5 s each, an entry has about that many.
inline constexpr std::size_t kept_upstreams_max = 8;

struct member_report {
    std::uint64_t sequence = 0; // increases with each report of an incarnation
    std::vector<slot_request> slot_requests;
    std::vector<running_send> running;
    std::vector<send_status_update> status_updates; // not acknowledged yet
    // To which the member keeps an idle connection, latest first.
    std::vector<base::upstream_id> kept_upstreams;
};

struct slot_grant {
    send_id id;
    base::upstream_id upstream;
    base::duration expected_first_event{0};
    std::uint32_t slots_taken = 0; // taken there by others
    std::uint32_t slots = 0;
};

struct slot_denial {
    send_id id;
    base::reason reason = base::reason::overloaded;
    base::duration retry_after{0};
};

struct dispatcher_reply {
    std::uint64_t acked_report = 0; // sequence of the latest report applied
    std::uint64_t acked_status = 0; // sequence of the latest update applied
    std::vector<slot_grant> grants;
    std::vector<slot_denial> denials;

    bool empty() const { return this->grants.empty() && this->denials.empty(); }
};

} // namespace greengagedrum::dispatch
