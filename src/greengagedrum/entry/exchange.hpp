// One request between its caller and the upstreams it is sent to. An exchange
// forwards bytes; its only decision is whether a response can belong to this
// request.
#pragma once

#include <greengagedrum/entry/peer_paths.hpp>
#include <greengagedrum/memory/reservation.hpp>
#include <greengagedrum/memory/unread_response.hpp>
#include <greengagedrum/platform/headers.hpp>
#include <greengagedrum/relay/caller_connection.hpp>
#include <greengagedrum/relay/event_splitter.hpp>
#include <greengagedrum/relay/kept_connections.hpp>
#include <greengagedrum/relay/tunnel_client.hpp>
#include <greengagedrum/relay/upstream_call.hpp>
#include <greengagedrum/routing/upstream_directory.hpp>
#include <greengagedrum/traffic/messages.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace greengagedrum::entry
{

// The attributes of a request that scheduling decisions do not need.
struct request_info {
    base::request_id id;
    platform::request_marks marks;
    std::string workspace; // empty: none
    std::string route;
    bool stream = false;
    bool resumed = false; // the caller has events of it from an earlier try
    bool repeatable = false;
    // A send of it may be lost and followed by another one.
    bool may_send_again = false;
    // Where the request may go, by way of a peer too.
    routing::data_centre_constraint allowed_data_centres{};
};

// The outcome of one send, for the log.
struct send_outcome {
    std::uint32_t send_number = 0;
    unsigned status = 0; // HTTP status; 0: no response
    std::uint32_t event_count = 0;
    relay::body_framing framing = relay::body_framing::none;
    std::size_t unfinished_bytes = 0; // of a stream, after its last whole event
    std::string error;                // empty: complete response
    std::string via;                  // the peer's address; empty: direct
    bool reused = false;              // its connection was a kept one
};

class exchange : public std::enable_shared_from_this<exchange>
{
public:
    struct owner_events {
        std::function<void(const traffic::event&)> on_event;
        std::function<void(const send_outcome&)> on_send_ended;
        // A response announces a rate limit that can't be read.
        std::function<void(const std::string& upstream)> on_invalid_limit;
        // Null: the memory of the process is not limited.
        std::shared_ptr<memory::account> memory{};
        // Whether an idle connection to the upstream may be kept now.
        std::function<bool(const routing::published_upstream&)> may_keep;
    };

    exchange(relay::asio::io_context& context,
             peer_paths& paths,
             relay::kept_connections& kept,
             relay::caller_ptr caller,
             request_info request,
             owner_events events);

    void send(std::uint32_t send_number,
              const routing::published_upstream& to,
              base::duration time_left);
    void stop_send();

    // Passes the upstream's response, or the rest of a streamed one, to the
    // caller. With `closing`, the caller's connection is closed afterwards.
    void deliver(bool closing);
    void fail(const base::verdict& verdict);

    // The caller has disconnected. A repeatable or streamed request is
    // cancelled; any other runs to its end on the upstream, and its response is
    // discarded.
    void abandon();
    // A call to an upstream is under way.
    bool has_call() const { return this->call != nullptr; }

    // Resumes reading from the upstream once the caller has received most of
    // what was sent.
    void resume_reading();

    // The bytes held are those of a response that hasn't come whole, and not of
    // one that its caller doesn't read.
    bool holds_unfinished_response() const;
    // Breaks such a response off. It is the upstream's failure only if the
    // response alone takes more than a workspace may.
    void end_for_memory();

    // Reports once that the peer which the send goes through stops.
    void check_carrier();

    // Bytes of the request's body.
    std::uint64_t body_bytes() const { return this->body->size(); }
    // Of the response, not yet read by the caller.
    memory::unread_response unread(base::instant now) const;

    const request_info& info() const { return this->request; }
    unsigned status() const { return this->answer.status; }
    const relay::caller_ptr& caller_connection() const { return this->caller; }

private:
    std::string request_head(const routing::published_upstream& to,
                             base::duration time_left) const;
    relay::upstream_events make_call_events();
    void make_call();
    relay::outgoing_request request_now() const;
    void send_directly();
    bool send_on_kept_connection();
    void hand_back_connection();
    // A kept connection has delivered the response to another request.
    bool is_answer_to_another() const;
    traffic::interruption_cause break_cause_of(relay::call_fault what) const;
    void on_direct_connect(bool connected);
    // Tries peers one after the other, a few at most.
    void send_by_peer();
    void on_tunnel(const base::ip_endpoint& peer,
                   relay::tunnel_client::result result);
    void report_not_connected();
    void report_own_shortage(const relay::error_code& fault);
    void on_head();
    void report_rate_limit();
    void on_body(std::string_view bytes);
    void on_done();
    void on_broken(traffic::interruption_cause cause, const std::string& error);
    void forward_events();
    void buffer_body(std::string_view bytes);
    // Drops what is held of the response of the last send.
    void release_response();
    void pause_reading();
    // Stops reading from the upstream while there is no room for the response.
    void keep_to_memory();
    void classify_answer();
    bool is_event_stream() const;
    // An upstream that crashes may close its connection in order, which looks
    // like the end of a body that nothing else frames. Why it is none, where
    // the body shows it: it has no byte, or ends inside an event. A stream that
    // is resumed has no event of its own either where its upstream crashes
    // before it goes on. Empty: the body may be whole.
    std::string_view unfinished_end() const;
    // Empty if the response head can belong to this request.
    std::string head_error() const;
    bool has_success_status() const;
    std::string caller_response_head() const;
    void report_outcome(std::string error);
    void report_bytes();
    // The scheduler no longer knows the send, so it doesn't end it.
    void stop_abandoned_at_deadline();

    relay::asio::io_context& context;
    peer_paths& paths;
    relay::kept_connections& kept;
    relay::caller_ptr caller;
    request_info request;
    std::shared_ptr<const std::string> body; // of the request, for all sends
    owner_events events;
    std::shared_ptr<relay::upstream_call> call;
    std::shared_ptr<relay::tunnel_client> tunnel; // until it is connected
    peer_paths::peer_use peer;                    // in use by the send
    std::vector<base::ip_endpoint> tried_peers;   // by the send
    routing::published_upstream target;           // of the send
    base::instant sent_at;
    base::instant deadline;
    std::uint32_t send_number = 0;
    std::uint32_t sends_begun = 0;
    bool reused = false;       // the send uses a kept connection
    relay::answer_head answer; // of the current or last send
    relay::body_framing framing = relay::body_framing::none;
    std::string buffered_body;
    relay::event_splitter splitter;
    bool streaming = false;
    std::uint32_t event_count = 0;
    std::string last_event_id; // of the last event sent to the caller
    bool reading_paused = false;
    std::uint64_t moved_bytes = 0; // by the send, in both directions
    bool carrier_stops = false;    // of the send, as reported
    bool discarding = false;       // the response, since its caller has left
    memory::reservation body_room;
    memory::reservation response_room;
    memory::reservation call_room;
    relay::asio::steady_timer abandoned_end; // stops the send without a caller
};

} // namespace greengagedrum::entry
