// Events and actions: the input and output of the scheduler.
//
// The I/O threads report events; scheduler::step() takes each one together with
// the current time. Actions are instructions to the I/O threads, which carry
// them out in the order given.
#pragma once

#include <greengagedrum/base/answer.hpp>
#include <greengagedrum/base/ids.hpp>
#include <greengagedrum/base/request_spec.hpp>
#include <greengagedrum/base/verdict.hpp>
#include <greengagedrum/capacity/messages.hpp>
#include <greengagedrum/config/snapshot.hpp>
#include <greengagedrum/idempotency/messages.hpp>
#include <greengagedrum/membership/messages.hpp>
#include <greengagedrum/placement/messages.hpp>

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace greengagedrum::delivery
{

// Events.

// A caller's request passed the checks of the front end.
struct request_arrived {
    base::request_id request;
    base::request_spec spec; // the scheduler fills in `arrived` and `deadline`
    base::duration deadline_after{0};
    std::uint64_t body_digest = 0;
    std::optional<idempotency::claim_subject> subject; // ticket or key, if any
};

// A caller asks for a ticket before it sends its request.
struct ticket_wanted {
    base::request_id request;
};

// The caller's connection was closed.
struct caller_gone {
    base::request_id request;
};

// The upstream refused the connection: no byte of the request was written.
struct connect_refused {
    base::dispatch_id dispatch;
    std::uint32_t connection = 0;
};

// Tokens were received. `tokens` counts all since the start of the stream.
struct stream_progressed {
    base::dispatch_id dispatch;
    std::uint32_t tokens = 0;
};

// The complete answer was received.
struct stream_finished {
    base::dispatch_id dispatch;
    base::answer_ptr answer;
    std::uint32_t cached_tokens =
        0; // prompt tokens found in the upstream's cache
};

enum class break_cause : std::uint8_t {
    connection_lost, // reset or closed before the end
    stopped,         // by the action stop_stream
    unknown_stream,  // on a resume, the upstream does not know the stream
    refused,         // the upstream answered with an error status
    malformed,       // the upstream's response can't be parsed
    no_connection,   // on a resume, the connect was refused
    unreachable,     // on a resume, the connect timed out
};

// The stream ended before the answer was complete.
struct stream_broken {
    base::dispatch_id dispatch;
    std::uint32_t connection = 0; // number given by the action that opened it
    break_cause cause = break_cause::connection_lost;
};

// A peer sent a message about a ticket or idempotency key.
struct claim_message {
    base::slot_id sender;
    base::incarnation incarnation;
    idempotency::message body;
};

// A new configuration is in force.
struct config_changed {
    config::snapshot_ptr snapshot;
};

// A newer instance list, from the platform or a peer.
struct instances_listed {
    membership::instance_list list;
};

// This process read the platform's instance list at `as_of` or later, and the
// list names this process in its slot.
struct own_listing_read {
    base::instant as_of;
};

// A peer's heartbeat was received.
struct peer_heartbeat {
    membership::heartbeat beat;
    // When, by this process's clock, the heartbeat was sent that this one
    // echoes. A received heartbeat may have waited in a buffer for any time;
    // the time of the echoed one is a safe lower bound.
    std::optional<base::instant> as_of;
};

// This process did not run for longer than its lease.
struct process_paused {
};

// A peer reported its load.
struct peer_load {
    base::slot_id sender;
    base::incarnation incarnation;
    capacity::load_digest digest;
};

// A peer is considered gone.
struct peer_lost {
    base::slot_id slot;
};

// An upstream reported its load.
struct upstream_reported {
    placement::load_report report;
};

// An upstream's prefix cache changed.
struct upstream_cache_changed {
    placement::cache_event change;
};

// Graceful stop: refuse new requests and finish the rest.
struct stop_begun {
};

// The time limit of the graceful stop has passed: end every request with a
// verdict that says whether it may have run.
struct stop_forced {
};

// This instance's load is due to be sent to the peers.
struct load_due {
};

// Only time has passed. Due timers fire on every event; this one does nothing
// else.
struct tick {
};

using event = std::variant<request_arrived,
                           ticket_wanted,
                           caller_gone,
                           connect_refused,
                           stream_progressed,
                           stream_finished,
                           stream_broken,
                           claim_message,
                           config_changed,
                           instances_listed,
                           own_listing_read,
                           peer_heartbeat,
                           process_paused,
                           peer_load,
                           peer_lost,
                           upstream_reported,
                           upstream_cache_changed,
                           stop_begun,
                           stop_forced,
                           load_due,
                           tick>;

// Actions.

// Send the request to the upstream on a new or recently used connection. From
// then on the request may have run, unless `connect_refused` reports that
// nothing was written.
//
// `connection` numbers the connections of one request, so that a late report of
// the end of an earlier connection is not taken for the end of the current one.
struct start_dispatch {
    base::request_id request;
    base::dispatch_id dispatch;
    base::upstream_id upstream;
    std::uint32_t connection = 0;
};

// Resume the stream from token `offset` over a new connection.
struct start_resume {
    base::request_id request;
    base::dispatch_id dispatch;
    base::upstream_id upstream;
    std::uint32_t connection = 0;
    std::uint32_t offset = 0;
};

// Close this connection and all earlier ones of the request. `cancel` also
// tells the upstream to end the stream.
struct stop_stream {
    base::request_id request;
    base::dispatch_id dispatch;
    base::upstream_id upstream;
    std::uint32_t connection = 0;
    bool cancel = false;
};

// The request ends with its complete answer. `answer` is set when the caller
// did not receive it from the stream (an answer kept here or at a peer).
struct end_answered {
    base::request_id request;
    base::answer_ptr answer;
};

// The request ends without a complete answer.
struct end_failed {
    base::request_id request;
    base::verdict verdict;
};

// The ticket of the request, to be sent in the response headers.
struct assign_ticket {
    base::request_id request;
    idempotency::ticket ticket;
};

// Send a message about a ticket or idempotency key to a peer.
struct send_claim_message {
    base::slot_id to;
    idempotency::message body;
};

// Send this instance's load to the peers with the next heartbeat.
struct send_load_digest {
    capacity::load_digest digest;
};

using action = std::variant<start_dispatch,
                            start_resume,
                            stop_stream,
                            end_answered,
                            end_failed,
                            assign_ticket,
                            send_claim_message,
                            send_load_digest>;

} // namespace greengagedrum::delivery
