// What goes into the decision core and what comes out of it.
//
// Events are facts told by the edges, stamped with the caller's `now`. Actions
// are orders to the edges; they are carried out in the order given.
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

// ---- Events -------------------------------------------------------------

// A caller's request passed its edge's checks.
struct request_arrived {
    base::request_id request;
    base::request_spec
        spec; // `arrived` and `deadline` are filled in by the core
    base::duration deadline_after{0};
    std::uint64_t body_digest = 0;
    std::optional<idempotency::claim_subject> subject; // ticket or key, if any
};

// A caller wants a ticket before it sends its request.
struct ticket_wanted {
    base::request_id request;
};

// The caller's connection is gone.
struct caller_gone {
    base::request_id request;
};

// The upstream refused the connection: no byte of the request was written.
struct connect_refused {
    base::dispatch_id dispatch;
    std::uint32_t connection = 0;
};

// Tokens have come; `tokens` counts all since the start of the stream.
struct stream_progressed {
    base::dispatch_id dispatch;
    std::uint32_t tokens = 0;
};

// The whole answer has come.
struct stream_finished {
    base::dispatch_id dispatch;
    base::answer_ptr answer;
    std::uint32_t cached_tokens = 0; // prompt tokens found in its cache
};

enum class break_cause : std::uint8_t {
    connection_lost, // reset or closed before the end
    stopped,         // by our own stop_stream
    unknown_stream,  // the upstream has no such stream (on a resume)
    refused,         // the upstream answered an error status
    malformed,       // what it sent can't be read
    no_connection,   // a resume's connect was refused
    unreachable,     // a resume's connect was not answered in time
};

// The stream ended before the whole answer.
struct stream_broken {
    base::dispatch_id dispatch;
    std::uint32_t connection = 0; // as named by the action that began it
    break_cause cause = break_cause::connection_lost;
};

// A message of a peer about a ticket or key.
struct claim_message {
    base::slot_id sender;
    base::incarnation incarnation;
    idempotency::message body;
};

// A new configuration is in force.
struct config_changed {
    config::snapshot_ptr snapshot;
};

// A newer reading of the instance list, from the platform or a peer.
struct instances_listed {
    membership::instance_list list;
};

// The platform's list, read by this process itself at `as_of` or later, names
// this very process in its slot.
struct own_listing_read {
    base::instant as_of;
};

struct peer_heartbeat {
    membership::heartbeat beat;
    // When, by the own clock, the own beat was sent that this one answers. A
    // beat may have waited in a buffer for any time; its echo can't lie.
    std::optional<base::instant> as_of;
};

// This process stood still for longer than its lease.
struct process_paused {
};

struct peer_load {
    base::slot_id sender;
    base::incarnation incarnation;
    capacity::load_digest digest;
};

struct peer_lost {
    base::slot_id slot;
};

struct upstream_reported {
    placement::load_report report;
};

struct upstream_cache_changed {
    placement::cache_event change;
};

// The instance is to stop: take no new request, finish the rest.
struct stop_begun {
};

// The bound of a graceful stop has passed: end all with honest verdicts.
struct stop_forced {
};

// The peers are to hear of this instance's load.
struct load_due {
};

// Time has passed; due timers fire on every event, this one carries no more.
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

// ---- Actions ------------------------------------------------------------

// Hand the request to the upstream, on a connection that is fresh or was just
// used. From here on the request may have run, unless `connect_refused` says
// that nothing was written.
//
// `connection` numbers the connections of one request, so that the end of an
// earlier one, told late, is not taken for the end of its successor.
struct start_dispatch {
    base::request_id request;
    base::dispatch_id dispatch;
    base::upstream_id upstream;
    std::uint32_t connection = 0;
};

// Read the same stream on, from token `offset`, over a new connection.
struct start_resume {
    base::request_id request;
    base::dispatch_id dispatch;
    base::upstream_id upstream;
    std::uint32_t connection = 0;
    std::uint32_t offset = 0;
};

// Break this connection and all before it; `cancel` also tells the upstream
// to end the stream.
struct stop_stream {
    base::request_id request;
    base::dispatch_id dispatch;
    base::upstream_id upstream;
    std::uint32_t connection = 0;
    bool cancel = false;
};

// The request has its whole answer. `whole` is set when the caller has not
// had it from the stream (an answer kept here or at a peer).
struct end_answered {
    base::request_id request;
    base::answer_ptr answer;
};

// The request ends without its answer.
struct end_failed {
    base::request_id request;
    base::verdict verdict;
};

// The request's own ticket, for the first header of its response.
struct assign_ticket {
    base::request_id request;
    idempotency::ticket ticket;
};

struct send_claim_message {
    base::slot_id to;
    idempotency::message body;
};

// The load to send to the peers with the next heartbeat.
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
