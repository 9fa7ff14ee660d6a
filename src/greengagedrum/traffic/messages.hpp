// Input events and output actions of the traffic scheduler.
//
// Events report what happened at a caller, an upstream or a peer. Actions are
// carried out in the order given. The sends of one request are numbered, so
// that a late report of the end of an earlier send is not taken for the end of
// a later one.
#pragma once

#include <greengagedrum/base/ids.hpp>
#include <greengagedrum/base/request_digest.hpp>
#include <greengagedrum/base/time.hpp>
#include <greengagedrum/base/verdict.hpp>
#include <greengagedrum/quarantine/messages.hpp>
#include <greengagedrum/routing/configuration.hpp>
#include <greengagedrum/routing/data_centre_constraint.hpp>

#include <cstdint>
#include <optional>
#include <string_view>
#include <variant>
#include <vector>

namespace greengagedrum::traffic
{

// The attributes of a request that scheduling depends on. Times are relative to
// its arrival unless noted.
struct request_facts {
    base::upstream_class_id service;
    base::workspace_id workspace;
    base::kind_id kind;          // identifies its route
    base::request_digest digest; // empty: unknown to this entry
    // Digests of the prompt parts that it shares with other requests; not sent
    // to peers.
    std::vector<base::request_digest> prompt_parts{};
    routing::retry_policy retry = routing::retry_policy::at_most_once;
    bool stream = false;
    std::uint32_t priority = 0; // 0 is the most urgent
    std::uint32_t prompt_tokens = 0;
    std::uint32_t output_tokens = 0; // expected
    std::uint32_t attempts_max = 1;
    // Until the first event or the answer; not sent to peers.
    base::duration latency_objective{0};
    base::duration event_gap_objective{0}; // between two events of a stream
    base::duration time_left{0}; // until the caller's or the route's timeout
    // Until the caller's own, for all its tries; 0: `time_left`.
    base::duration caller_time_left{0};
    bool caller_resumes = false; // the caller itself resumes a broken stream
    routing::data_centre_constraint allowed_data_centres{}; // not sent to peers
    base::version_id version{}; // of the only upstreams allowed; empty: any
    // Set for a request of another entry, which asks only for a slot. The other
    // entry sends the request, observes its result and decides about retries.
    bool delegated = false;
    base::slot_id sender{};        // the other entry; not sent to peers
    std::uint32_t prior_sends = 0; // sends of a delegated request so far
    base::duration first_event_timeout{0}; // of a delegated request
};

// How long a caller waits for the first event. For a stream that is two
// seconds, four times the objective or eight times the gap objective, whichever
// is longest, but at most the time left. For any other request it is the time
// left.
base::duration first_event_timeout_of(const request_facts& facts);

struct request_arrived {
    base::request_id request;
    request_facts facts;
    std::vector<base::upstream_id> tried{}; // not to be selected
};

// The caller closed its connection.
struct caller_left {
    base::request_id request;
};

// The connect failed, so no byte of the request was written.
struct connect_failed {
    base::request_id request;
    std::uint32_t send = 0;
    // For want of a descriptor, port or memory of this process, which says
    // nothing about the upstream.
    bool own_shortage = false;
};

enum class rejection : std::uint8_t {
    not_run,     // for any reason other than the next one
    misdirected, // another upstream answers at that address
};

// The upstream rejected the request and guarantees that it did not run it.
struct send_rejected {
    base::request_id request;
    std::uint32_t send = 0;
    rejection cause = rejection::not_run;
};

// Events of a stream arrived; `events` is the total of this send.
struct events_received {
    base::request_id request;
    std::uint32_t send = 0;
    std::uint32_t events = 0;
};

// The entry stopped reading from the upstream, since the caller takes too
// little or memory is short. Until reading_resumed the upstream can't be heard.
struct reading_paused {
    base::request_id request;
    std::uint32_t send = 0;
};

struct reading_resumed {
    base::request_id request;
    std::uint32_t send = 0;
};

// The entry that carries this send to its upstream stops, which ends the send
// unless the answer comes first.
struct carrier_stopping {
    base::request_id request;
    std::uint32_t send = 0;
};

// The upstream's whole answer arrived. An unsuccessful answer may still be
// replaced by a retry on another upstream.
struct answer_received {
    base::request_id request;
    std::uint32_t send = 0;
    bool successful = true;
    // False for an error response, to which no answer to the prompt was begun.
    bool generated = true;
};

enum class interruption_cause : std::uint8_t {
    connection_lost,
    malformed,     // the data received is not a valid answer
    write_stalled, // the upstream took no byte of the request for too long
    // A kept connection ended before any byte of the answer arrived, or it
    // delivered the answer to another request. A fresh one may serve.
    reused_connection_lost,
    // This entry broke the answer off for want of memory.
    memory_short,
    // A whole answer to the resumption of a stream, but not the rest of it.
    stream_not_resumed,
};

// The answer was interrupted or never started. The request may have run.
struct answer_interrupted {
    base::request_id request;
    std::uint32_t send = 0;
    interruption_cause cause = interruption_cause::connection_lost;
};

// The result of a `check_upstream` action.
struct upstream_checked {
    base::upstream_id upstream;
    bool accepts_connections = false; // the connect succeeded
};

// The dispatching entry granted a slot for the requested send, or denied one
// that would come too late.
struct slot_granted {
    base::request_id request;
    std::uint32_t send = 0;
    base::upstream_id upstream;
    base::duration expected{0}; // until the first event
    std::uint32_t taken = 0; // slots of the upstream in use by other requests
    std::uint32_t places = 0;
};

struct slot_denied {
    base::request_id request;
    std::uint32_t send = 0;
    base::verdict verdict;
};

// The head of an upstream's response arrived.
struct rate_limit_read {
    base::upstream_id upstream;
    double per_second = 0; // requests; 0: it announces no limit
};

using event = std::variant<request_arrived,
                           caller_left,
                           connect_failed,
                           send_rejected,
                           events_received,
                           reading_paused,
                           reading_resumed,
                           carrier_stopping,
                           answer_received,
                           answer_interrupted,
                           upstream_checked,
                           slot_granted,
                           slot_denied,
                           rate_limit_read>;

// The figures that led to the choice of an upstream, for the log.
struct choice_record {
    base::duration waited{0};
    std::uint32_t own_requests = 0;  // of this entry at the upstream
    std::uint32_t peer_requests = 0; // of peers there, as reported
    std::uint32_t slots = 0;
    base::duration peer_report_age{0}; // age of the oldest report
    base::duration expected_first_event{0};
    base::duration expected_gap{0}; // longest one expected there
    // `disturbs` (streams that run there), `suits`, or `granted` by a
    // dispatcher
    std::string_view suitability;
};

struct send_request {
    base::request_id request;
    std::uint32_t send = 0;
    base::upstream_id upstream;
    base::instant deadline; // no answer is of use after it
    choice_record choice;
};

enum class cancel_cause : std::uint8_t {
    request_ended,
    upstream_silent,
    carrier_stopping,
};

// Close the connection of this send. Data that still arrives on it is
// discarded.
struct cancel_send {
    base::request_id request;
    std::uint32_t send = 0;
    cancel_cause cause = cancel_cause::request_ended;
};

// Pass the upstream's answer to the caller unchanged.
struct deliver_answer {
    base::request_id request;
    std::uint32_t send = 0;
};

// What the end of a request by a stop went by, for the log.
struct stop_estimate {
    base::duration expected{0}; // time that the request needs
    base::duration left{0};     // until the stop ends all requests
};

// End the request without an answer from an upstream.
struct end_request {
    base::request_id request;
    base::verdict verdict;
    // The version of which no usable upstream was left; empty: it ended for
    // another reason.
    base::version_id missing_version{};
    std::optional<stop_estimate> stop{}; // set if a stop ended it
};

// Check whether an upstream still accepts connections after one of its answers
// was interrupted.
struct check_upstream {
    base::upstream_id upstream;
};

// An upstream became suspected or was cleared; for the log.
struct suspicion_changed {
    base::upstream_id upstream;
    bool suspected = false;
    std::string_view cause;  // the kind of its last failure
    double failure_rate = 0; // share of failures among its recent requests
};

// The limit that an upstream announces has begun, changed or ended; for the
// log.
struct rate_limit_changed {
    base::upstream_id upstream;
    double per_second = 0; // requests; 0: it has ended
};

// The first event of a stream was passed to the caller. Only upstreams of this
// version can go on with it.
struct stream_bound {
    base::request_id request;
    base::version_id version;
};

using action = std::variant<send_request,
                            cancel_send,
                            deliver_answer,
                            end_request,
                            check_upstream,
                            suspicion_changed,
                            rate_limit_changed,
                            quarantine::quarantine_state_change,
                            stream_bound>;

using actions = std::vector<action>;

} // namespace greengagedrum::traffic
