#include <greengagedrum/entry/exchange.hpp>

#include <utility>

namespace greengagedrum::entry
{

namespace
{

// Unsent bytes to a caller at which reading from the upstream pauses, and at
// which it resumes.
constexpr std::size_t unsent_high_water = 256U << 10U;
constexpr std::size_t unsent_low_water = 32U << 10U;

constexpr unsigned first_server_error = 500;

} // namespace

exchange::exchange(relay::asio::io_context& context,
                   peer_paths& paths,
                   relay::kept_connections& kept,
                   relay::caller_ptr caller,
                   request_info request,
                   owner_events events)
    : context(context), paths(paths), kept(kept), caller(std::move(caller)),
      request(std::move(request)),
      body(std::make_shared<const std::string>(this->caller->take_body())),
      events(std::move(events)),
      body_room(this->caller->take_body_reservation()),
      response_room(this->events.memory,
                    memory::kind::responses,
                    this->caller->classified().workspace),
      call_room(this->events.memory, memory::kind::connections),
      abandoned_end(context)
{
}

std::string exchange::request_head(const routing::published_upstream& to,
                                   base::duration time_left) const
{
    const relay::request_head& head = this->caller->head();
    std::string out = head.method + " " + head.target + " HTTP/1.1\r\n";
    for (const relay::header& one : head.headers) {
        if (!platform::passes_to_upstream(one.name) ||
            relay::same_name(one.name, "Content-Length") ||
            relay::same_name(one.name, "Expect"))
            continue;
        const bool kept = platform::always_passes(one.name);
        if (!kept && relay::is_hop_header(head.headers, one.name))
            continue;
        // The caller has received events after the one it named, so the id from
        // write_upstream_marks() replaces its header.
        if (!this->last_event_id.empty() &&
            relay::same_name(one.name, platform::resume_header))
            continue;
        out.append(one.name).append(": ").append(one.value).append("\r\n");
    }
    platform::write_upstream_marks(
        {to.name, this->request.workspace, time_left, this->last_event_id},
        out);
    const bool bodiless = head.method == "GET" || head.method == "HEAD";
    if (!this->body->empty() || !bodiless)
        out += "Content-Length: " + std::to_string(this->body->size()) + "\r\n";
    return out + "\r\n";
}

relay::upstream_events exchange::make_call_events()
{
    relay::upstream_events out;
    const auto self = this->shared_from_this();
    out.connected = [self] { self->on_direct_connect(true); };
    out.not_connected = [self](const relay::error_code& fault) {
        self->call.reset();
        if (relay::is_own_shortage(fault))
            return self->report_own_shortage(fault);
        self->on_direct_connect(false);
    };
    out.written = [self] {
        self->body_room.set_kind(memory::kind::request_bodies);
    };
    out.head = [self] { self->on_head(); };
    out.body = [self](std::string_view bytes) { self->on_body(bytes); };
    out.done = [self] { self->on_done(); };
    out.broken = [self](relay::call_fault what, const std::string& error) {
        self->on_broken(self->break_cause_of(what), error);
    };
    return out;
}

void exchange::stop_send()
{
    if (this->tunnel)
        this->tunnel->stop();
    this->tunnel.reset();
    if (this->call)
        this->call->stop();
    this->call.reset();
    this->report_bytes();
    this->call_room.resize(0);
    this->peer.reset();
}

bool exchange::has_success_status() const
{
    return this->answer.status >= relay::status_ok &&
           this->answer.status < relay::status_redirect;
}

std::string exchange::head_error() const
{
    const platform::answer_marks marks =
        platform::read_answer_marks(this->answer);
    if (marks.attempt != this->request.marks.attempt)
        return "response carries the id of another request";
    if (this->has_success_status() && !marks.has_signature)
        return "successful response without the upstream's signature";
    // No encoding was requested, so the response does not come from the
    // upstream.
    if (relay::find_header(this->answer.headers, "Content-Encoding"))
        return "response body has an unexpected Content-Encoding";
    return {};
}

void exchange::on_head()
{
    this->answer = this->call->head();
    this->framing = this->call->framing();
    if (this->is_answer_to_another()) {
        this->stop_send();
        return this->on_broken(
            traffic::interruption_cause::reused_connection_lost,
            "response to another request");
    }
    this->report_rate_limit();
    const bool has_body = this->framing != relay::body_framing::none;
    if (!this->request.stream || !has_body ||
        this->answer.status != relay::status_ok || !this->is_event_stream())
        return;
    const std::string fault = this->head_error();
    if (!fault.empty()) {
        this->stop_send();
        return this->on_broken(traffic::interruption_cause::malformed, fault);
    }
    this->streaming = true;
}

void exchange::report_rate_limit()
{
    const platform::answer_marks marks =
        platform::read_answer_marks(this->answer);
    if (marks.attempt != this->request.marks.attempt ||
        this->answer.status == platform::misdirected_status)
        return;
    if (marks.rate_limit_invalid)
        return this->events.on_invalid_limit(this->target.name);
    this->events.on_event(traffic::rate_limit_read{
        this->target.id, marks.rate_limit.value_or(0)});
}

void exchange::on_body(std::string_view bytes)
{
    this->moved_bytes += bytes.size();
    if (this->discarding)
        return;
    if (!this->streaming) {
        this->buffer_body(bytes);
        this->response_room.resize(this->buffered_body.capacity());
        return this->keep_to_memory();
    }
    this->splitter.feed(bytes);
    this->forward_events();
    this->response_room.resize(this->splitter.rest_size());
    this->keep_to_memory();
}

void exchange::forward_events()
{
    std::string pieces;
    while (const auto one = this->splitter.next()) {
        // A resumed stream continues after the last event; events that it
        // repeats are not passed on again.
        const auto last = relay::event_number(this->last_event_id);
        const auto fresh = relay::event_number(one->id);
        if (last && fresh && *fresh <= *last)
            continue;
        if (!one->id.empty())
            this->last_event_id = one->id;
        this->event_count += 1;
        pieces += one->bytes;
    }
    if (pieces.empty())
        return;
    this->caller->begin_pieces(this->caller_response_head());
    this->caller->send_piece(pieces);
    if (!this->events.memory && this->caller->unsent() > unsent_high_water)
        this->pause_reading();
    this->events.on_event(traffic::events_received{
        this->request.id, this->send_number, this->event_count});
}

void exchange::pause_reading()
{
    if (this->reading_paused)
        return;
    this->reading_paused = true;
    this->call->pause(true);
    this->events.on_event(
        traffic::reading_paused{this->request.id, this->send_number});
}

void exchange::resume_reading()
{
    if (!this->reading_paused || !this->call)
        return;
    const bool held_back = this->events.memory
                               ? this->events.memory->must_end_response()
                               : this->caller->unsent() > unsent_low_water;
    if (held_back)
        return;
    this->reading_paused = false;
    this->call->pause(false);
    this->events.on_event(
        traffic::reading_resumed{this->request.id, this->send_number});
}

void exchange::on_done()
{
    this->hand_back_connection();
    this->call.reset();
    this->call_room.resize(0);
    if (this->streaming) {
        const std::string unfinished(this->unfinished_end());
        if (!unfinished.empty())
            return this->on_broken(traffic::interruption_cause::connection_lost,
                                   unfinished);
        this->report_outcome({});
        this->events.on_event(traffic::answer_received{
            this->request.id, this->send_number, true});
        return;
    }
    this->classify_answer();
}

bool exchange::is_event_stream() const
{
    const auto type = relay::find_header(this->answer.headers, "Content-Type");
    if (!type)
        return this->request.stream && this->answer.status == relay::status_ok;
    return relay::same_name(relay::media_type(*type), "text/event-stream");
}

void exchange::classify_answer()
{
    const platform::answer_marks marks =
        platform::read_answer_marks(this->answer);
    const bool misdirected =
        this->answer.status == platform::misdirected_status;
    // Failure guarded against: a response with another request's id reports
    // that the other request did not run. Taken for this request, it would
    // cause a second send.
    const bool of_other_request =
        !marks.attempt.empty() && marks.attempt != this->request.marks.attempt;
    if ((misdirected || marks.not_run) && !of_other_request) {
        this->report_outcome(misdirected
                                 ? "another upstream answers at this address"
                                 : "rejected by the upstream");
        this->release_response();
        this->events.on_event(
            traffic::send_rejected{this->request.id,
                                   this->send_number,
                                   misdirected ? traffic::rejection::misdirected
                                               : traffic::rejection::not_run});
        return;
    }
    const std::string fault = this->head_error();
    if (!fault.empty())
        return this->on_broken(traffic::interruption_cause::malformed, fault);
    // The caller has the first part of a stream, which this doesn't go on with.
    if (this->caller->pieces_begun())
        return this->on_broken(traffic::interruption_cause::stream_not_resumed,
                               "stream not resumed");
    const std::string unfinished(this->unfinished_end());
    if (!unfinished.empty())
        return this->on_broken(traffic::interruption_cause::connection_lost,
                               unfinished);
    this->report_outcome({});
    this->events.on_event(
        traffic::answer_received{this->request.id,
                                 this->send_number,
                                 this->answer.status < first_server_error,
                                 this->has_success_status()});
}

void exchange::on_broken(traffic::interruption_cause cause,
                         const std::string& error)
{
    this->call.reset();
    this->call_room.resize(0);
    this->report_outcome(error);
    // The request may wait for its next send.
    this->release_response();
    this->events.on_event(traffic::answer_interrupted{
        this->request.id, this->send_number, cause});
}

void exchange::report_bytes()
{
    if (this->moved_bytes > 0)
        this->paths.record_bytes(
            this->target.data_centre, this->peer.address(), this->moved_bytes);
    this->moved_bytes = 0;
}

void exchange::report_outcome(std::string error)
{
    this->report_bytes();
    this->events.on_send_ended(send_outcome{this->send_number,
                                            this->answer.status,
                                            this->event_count,
                                            this->framing,
                                            this->splitter.rest_size(),
                                            std::move(error),
                                            this->peer.address(),
                                            this->reused});
    this->peer.reset();
}

std::string exchange::caller_response_head() const
{
    std::string out = "HTTP/1.1 " + std::to_string(this->answer.status) + " " +
                      this->answer.reason + "\r\n";
    for (const relay::header& one : this->answer.headers) {
        if (relay::same_name(one.name, "Content-Length") ||
            relay::is_hop_header(this->answer.headers, one.name))
            continue;
        out.append(one.name).append(": ").append(one.value).append("\r\n");
    }
    return out;
}

} // namespace greengagedrum::entry
