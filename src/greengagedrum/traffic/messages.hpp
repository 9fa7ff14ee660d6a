// What goes into the traffic decisions and what comes out of them.
//
// Events are facts told by the edges; actions are orders to them, carried out
// in the order given. Sends of one request are numbered, so that the end of an
// earlier one, told late, is not taken for the end of its successor.
#pragma once

#include <greengagedrum/base/ids.hpp>
#include <greengagedrum/base/request_digest.hpp>
#include <greengagedrum/base/time.hpp>
#include <greengagedrum/base/verdict.hpp>
#include <greengagedrum/quarantine/messages.hpp>
#include <greengagedrum/routing/configuration.hpp>
#include <greengagedrum/routing/data_centre_constraint.hpp>

#include <cstdint>
#include <string_view>
#include <variant>
#include <vector>

namespace greengagedrum::traffic
{

// What the decisions need to know of a request.
struct request_facts {
    base::upstream_class_id service;
    base::workspace_id workspace;
    base::kind_id kind;          // its route
    base::request_digest digest; // empty: not known here
    routing::retry_policy retry = routing::retry_policy::at_most_once;
    bool stream = false;
    std::uint32_t priority = 0; // 0 is the most urgent
    std::uint32_t prompt_tokens = 0;
    std::uint32_t output_tokens = 0; // expected
    std::uint32_t attempts_max = 1;
    base::duration latency_objective{0};   // to the first event or the answer
    base::duration event_gap_objective{0}; // between events
    base::duration time_left{0}; // until the caller or the route gives up
    bool caller_resumes = false; // the caller resumes a stream by itself
    routing::data_centre_constraint
        allowed_data_centres{}; // not told between entries
    // Of another entry, which asks for a place only: it sends the request, sees
    // what becomes of it and decides what may be sent again.
    bool delegated = false;
    std::uint32_t prior_sends = 0;         // of a delegated one
    base::duration first_event_timeout{0}; // of it: how long its caller waits
};

// How long a caller waits for the first sign of an answer: of a stream, it
// leaves after two seconds, four times the objective or eight times the pause
// between events, whichever is longest.
base::duration first_event_timeout_of(const request_facts& facts);

// ---- Events -------------------------------------------------------------

struct request_arrived {
    base::request_id request;
    request_facts facts;
    std::vector<base::upstream_id> tried{}; // not to be taken
};

// The caller's connection is gone.
struct caller_left {
    base::request_id request;
};

// The connect failed: no byte of the request was written.
struct connect_failed {
    base::request_id request;
    std::uint32_t send = 0;
};

enum class rejection : std::uint8_t {
    not_run,     // it did not run the request, whatever its reason
    misdirected, // another upstream answers at that address
};

// The upstream promises that it did not run the request.
struct send_rejected {
    base::request_id request;
    std::uint32_t send = 0;
    rejection cause = rejection::not_run;
};

// Events of a stream have come; `events` counts all of this send.
struct events_received {
    base::request_id request;
    std::uint32_t send = 0;
    std::uint32_t events = 0;
};

// The upstream's whole answer has come. One that is not `good` may still be
// replaced by another upstream's.
struct answer_received {
    base::request_id request;
    std::uint32_t send = 0;
    bool successful = true;
};

enum class interruption_cause : std::uint8_t {
    connection_lost,
    malformed, // what came can't be this request's answer
};

// The answer broke off, or never came; the request may have run.
struct answer_interrupted {
    base::request_id request;
    std::uint32_t send = 0;
    interruption_cause cause = interruption_cause::connection_lost;
};

// What became of a `check_upstream`.
struct upstream_checked {
    base::upstream_id upstream;
    bool accepts_connections = false; // connections
};

// Another entry, which places this one's requests, has a place for the send
// that was asked for, or will have none in time.
struct slot_granted {
    base::request_id request;
    std::uint32_t send = 0;
    base::upstream_id upstream;
    base::duration expected{0}; // to the first event
    std::uint32_t taken = 0;    // places there, by others
    std::uint32_t places = 0;
};

struct slot_denied {
    base::request_id request;
    std::uint32_t send = 0;
    base::verdict verdict;
};

using event = std::variant<request_arrived,
                           caller_left,
                           connect_failed,
                           send_rejected,
                           events_received,
                           answer_received,
                           answer_interrupted,
                           upstream_checked,
                           slot_granted,
                           slot_denied>;

// ---- Actions ------------------------------------------------------------

// What a choice rested on, for the log.
struct choice_record {
    base::duration waited{0};
    std::uint32_t own_requests = 0;  // requests there, of this entry
    std::uint32_t peer_requests = 0; // and of its peers, as they told
    std::uint32_t slots = 0;
    base::duration peer_report_age{0};      // of the peers' oldest message
    base::duration expected_first_event{0}; // expected
    base::duration expected_gap{0}; // the longest expected there meanwhile
    std::string_view suitability;   // a suitability
};

struct send_request {
    base::request_id request;
    std::uint32_t send = 0;
    base::upstream_id upstream;
    base::instant deadline; // the answer is of no use after it
    choice_record choice;
};

// Close that connection; whatever still comes on it is nobody's.
struct cancel_send {
    base::request_id request;
    std::uint32_t send = 0;
};

// The answer goes to the caller as the upstream gave it.
struct deliver_answer {
    base::request_id request;
    std::uint32_t send = 0;
};

// The request ends without an upstream's answer.
struct end_request {
    base::request_id request;
    base::verdict verdict;
};

// An answer of it broke off: is it still there?
struct check_upstream {
    base::upstream_id upstream;
};

// An upstream came under suspicion, or was cleared of it; for the log.
struct suspicion_changed {
    base::upstream_id upstream;
    bool suspected = false;
    std::string_view cause;  // what the last bad end was
    double failure_rate = 0; // of its last ends
};

using action = std::variant<send_request,
                            cancel_send,
                            deliver_answer,
                            end_request,
                            check_upstream,
                            suspicion_changed,
                            quarantine::quarantine_state_change>;

using actions = std::vector<action>;

} // namespace greengagedrum::traffic
