// What the entries of a large data centre and their dispatcher tell each other
// of requests.
//
// The dispatcher places the requests of all entries of its data centre; the
// others are its members. A member stays responsible for its requests: it
// holds the caller's connection, sends to the upstream that the dispatcher
// names, and decides alone what may be sent again. Each message is whole, so
// that a lost one is made good by the next.
#pragma once

#include <greengagedrum/base/ids.hpp>
#include <greengagedrum/base/time.hpp>
#include <greengagedrum/base/verdict.hpp>
#include <greengagedrum/traffic/messages.hpp>

#include <compare>
#include <cstdint>
#include <vector>

namespace greengagedrum::dispatch
{

// What is not answered, or not shown to have arrived, is told again after this:
// some round trips, and less than the work of the shortest requests, for which
// a place would stand idle.
inline constexpr base::duration resend_interval = std::chrono::milliseconds(25);

// One send of a request, by the member's own numbers.
struct send_id {
    base::request_id request;
    std::uint32_t send = 0;
    auto operator<=>(const send_id&) const = default;
};

// A request that waits for a place.
struct slot_request {
    send_id id;
    traffic::request_facts facts; // times from now on
    std::vector<base::upstream_id> tried_upstreams;
    double cost = 0;      // against its workspace's limit
    bool charged = false; // the limit holds it already
};

struct running_send {
    send_id id;
    base::upstream_id upstream;
    std::uint32_t pending_prefill_tokens = 0; // of its prompt
};

enum class send_status : std::uint8_t {
    first_event,
    completed,     // the whole answer has come
    error_answer,  // an answer, but no good one
    not_sent,      // no connection
    rejected_full, // the upstream did not run it
    misdirected,   // another upstream answers there
    connection_broken,
};

struct send_status_update {
    std::uint64_t sequence = 0; // grows by one with each news of a life
    send_id id;
    send_status status = send_status::first_event;
};

struct member_report {
    std::uint64_t sequence = 0; // grows with each report of a life
    std::vector<slot_request> slot_requests;
    std::vector<running_send> running;
    std::vector<send_status_update>
        status_updates; // that the dispatcher may not have
};

struct slot_grant {
    send_id id;
    base::upstream_id upstream;
    base::duration expected_first_event{0}; // to its first event
    std::uint32_t slots_taken = 0;          // places there, by others
    std::uint32_t slots = 0;
};

struct slot_denial {
    send_id id;
    base::reason reason = base::reason::overloaded;
    base::duration retry_after{0};
};

struct dispatcher_reply {
    std::uint64_t acked_report = 0; // the newest one
    std::uint64_t acked_status = 0; // up to this number
    std::vector<slot_grant> grants;
    std::vector<slot_denial> denials;

    bool empty() const { return this->grants.empty() && this->denials.empty(); }
};

} // namespace greengagedrum::dispatch
