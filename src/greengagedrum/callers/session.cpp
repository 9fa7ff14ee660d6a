#include <greengagedrum/callers/answer_writer.hpp>
#include <greengagedrum/callers/context.hpp>
#include <greengagedrum/callers/session.hpp>
#include <greengagedrum/delivery/unclaimed_verdict.hpp>
#include <greengagedrum/http/current_connection.hpp>

#include <httplib.h>

namespace greengagedrum::callers
{

namespace
{

// Progress is told at the first token and then no more often than this: the
// decision thread needs signs of life, not every token.
constexpr std::chrono::milliseconds progress_interval(50);

// How often a wait for a directive looks whether the caller is still there.
constexpr std::chrono::milliseconds directive_wait(200);

constexpr base::duration full_ring_hint = std::chrono::seconds(1);

caller_request numbered(caller_request request, std::uint64_t number)
{
    request.arrival.request = base::request_id{number};
    return request;
}

} // namespace

session::session(context& everyone, caller_request asked)
    : shared(everyone),
      request(numbered(std::move(asked), everyone.next_request.fetch_add(1))),
      port(std::make_shared<request_port>()), record(this->request)
{
}

void session::serve(httplib::Response& response)
{
    if (!this->submit()) {
        const telemetry::process_count full{telemetry::counter::ring_full};
        this->shared.telemetry.record(full);
        return this->fail(delivery::unclaimed_verdict(this->request.arrival,
                                                      base::reason::internal,
                                                      full_ring_hint),
                          response);
    }
    directive first = this->first_after_ticket(response);
    if (const auto* failed = std::get_if<delivery::end_failed>(&first))
        return this->fail(failed->verdict, response);
    if (this->request.stream) {
        response.set_chunked_content_provider(
            "text/event-stream",
            [self = this->shared_from_this(), first](std::size_t,
                                                     httplib::DataSink& sink) {
                self->stream(first, sink);
                return true;
            });
        return;
    }
    const outcome end = this->run(std::move(first), nullptr);
    if (const auto* verdict = std::get_if<base::verdict>(&end))
        return this->fail(*verdict, response);
    const base::answer_ptr whole = std::get<base::answer_ptr>(end);
    write_answer(*whole, response);
    this->record.answered(this->shared.telemetry, whole->tokens);
}

void session::fail(const base::verdict& verdict, httplib::Response& response)
{
    write_verdict(verdict, response);
    this->record.failed(this->shared.telemetry, verdict);
}

void session::stream(directive first, httplib::DataSink& sink)
{
    event_writer writer(sink);
    const outcome end = this->run(std::move(first), &writer);
    if (const auto* verdict = std::get_if<base::verdict>(&end)) {
        writer.failed(*verdict);
        this->record.failed(this->shared.telemetry, *verdict);
    } else {
        const base::answer_ptr whole = std::get<base::answer_ptr>(end);
        writer.whole(*whole);
        this->record.answered(this->shared.telemetry, whole->tokens);
    }
    sink.done();
}

bool session::submit()
{
    return this->shared.events.push(arrival{this->request.arrival, this->port});
}

// The ticket by which the caller may come back is in the first header, also
// when the request fails.
directive session::first_after_ticket(httplib::Response& response)
{
    directive first = this->next();
    const auto* made = std::get_if<delivery::assign_ticket>(&first);
    if (made == nullptr)
        return first;
    response.set_header(
        "Ticket",
        this->shared.tickets.encode(made->ticket, this->request.workspace->id));
    return this->next();
}

directive session::next()
{
    while (true) {
        if (auto given = this->port->wait(directive_wait))
            return std::move(*given);
        this->note_caller(nullptr);
    }
}

session::outcome session::run(directive first, event_writer* writer)
{
    directive current = std::move(first);
    while (true) {
        if (const auto* end = std::get_if<delivery::end_failed>(&current))
            return end->verdict;
        if (const auto* end = std::get_if<delivery::end_answered>(&current)) {
            const base::answer_ptr whole = end->answer;
            // A stream read to its end has been passed on already, even if
            // the decision thread heard of that end twice.
            if (!this->made && writer != nullptr)
                writer->kept(*whole);
            return whole;
        }
        if (const auto* start = std::get_if<delivery::start_dispatch>(&current))
            this->call(*start, writer);
        if (const auto* resume = std::get_if<delivery::start_resume>(&current))
            this->call(*resume, writer);
        current = this->next();
    }
}

void session::call(const delivery::start_dispatch& what, event_writer* writer)
{
    if (this->so_far.tokens > 0 && writer != nullptr)
        writer->restart();
    this->record.dispatched();
    this->so_far = {};
    this->made.reset();
    this->told_at = {};
    const upstreams::call_key key{what.dispatch, what.connection};
    const auto end =
        upstreams::hand_over(this->shared.pool,
                             this->port->call(),
                             this->target_of(what.upstream),
                             key,
                             this->request.upstream_body,
                             this->so_far,
                             this->receiver(what.dispatch, writer));
    this->report(end, key, what.upstream);
}

void session::call(const delivery::start_resume& what, event_writer* writer)
{
    const upstreams::call_key key{what.dispatch, what.connection};
    const auto end = upstreams::read_on(this->shared.pool,
                                        this->port->call(),
                                        this->target_of(what.upstream),
                                        key,
                                        this->so_far,
                                        this->receiver(what.dispatch, writer));
    this->report(end, key, what.upstream);
}

void session::report(const upstreams::call_end& end,
                     const upstreams::call_key& key,
                     base::upstream_id upstream)
{
    if (std::holds_alternative<upstreams::call_whole>(end)) {
        this->made = this->make_answer();
        return this->tell(delivery::stream_finished{
            key.dispatch, this->made, this->so_far.cached_tokens});
    }
    if (const auto* broken = std::get_if<upstreams::call_broken>(&end))
        return this->report_broken(*broken, key, upstream);
    this->shared.failures.refused(*this->request.snapshot, upstream);
    this->tell(delivery::connect_refused{key.dispatch, key.connection});
}

void session::report_broken(const upstreams::call_broken& end,
                            const upstreams::call_key& key,
                            base::upstream_id upstream)
{
    this->shared.failures.broken(*this->request.snapshot, upstream, end.cause);
    if (this->port->call().cancelled(key.connection))
        upstreams::cancel(
            this->shared.pool, this->target_of(upstream), key.dispatch);
    this->tell(
        delivery::stream_broken{key.dispatch, key.connection, end.cause});
}

upstreams::token_receiver session::receiver(base::dispatch_id dispatch,
                                            event_writer* writer)
{
    return
        [this, dispatch, writer](std::uint32_t index, std::string_view text) {
            this->record.token();
            if (writer != nullptr)
                writer->token(index, text);
            const clock::time_point now = clock::now();
            if (now - this->told_at < progress_interval)
                return;
            this->told_at = now;
            this->note_caller(writer);
            this->tell(delivery::stream_progressed{dispatch, index + 1});
        };
}

void session::note_caller(const event_writer* writer)
{
    if (this->told_gone)
        return;
    const bool cut = writer != nullptr && writer->caller_gone();
    if (!cut && http::current_connection_open())
        return;
    this->told_gone = true;
    this->tell(delivery::caller_gone{this->request.arrival.request});
}

upstreams::call_target session::target_of(base::upstream_id upstream) const
{
    const auto address = this->shared.directory.address_of(upstream);
    return {address.value_or(""),
            this->request.rules->path,
            this->request.rules->model};
}

base::answer_ptr session::make_answer() const
{
    return std::make_shared<const base::answer>(
        base::answer{this->so_far.content_type,
                     this->so_far.text,
                     this->so_far.tokens,
                     this->request.rules->path.empty()});
}

void session::tell(delivery::event what)
{
    push_surely(this->shared.events, std::move(what));
}

} // namespace greengagedrum::callers
