// One request's life on the thread that serves its caller.
//
// It does what the decision thread says: reads the upstream's stream, passes
// tokens on, reports progress and ends. It decides nothing. It goes on after
// its caller is gone, until the decision thread ends the request, because
// work dispatched at most once is read to its end and kept.
#pragma once

#include <greengagedrum/callers/caller_request.hpp>
#include <greengagedrum/callers/request_port.hpp>
#include <greengagedrum/callers/request_record.hpp>
#include <greengagedrum/upstreams/call.hpp>

#include <chrono>
#include <memory>
#include <variant>

namespace httplib
{
class DataSink;
struct Response;
} // namespace httplib

namespace greengagedrum::callers
{

class event_writer;
struct context;

class session : public std::enable_shared_from_this<session>
{
public:
    session(context& shared, caller_request request);

    // Serves the request. For a streamed answer it leaves in the response a
    // provider that does the rest.
    void serve(httplib::Response& response);

private:
    using clock = std::chrono::steady_clock;
    using outcome = std::variant<base::answer_ptr, base::verdict>;

    bool submit();
    directive next();
    directive first_after_ticket(httplib::Response& response);
    void stream(directive first, httplib::DataSink& sink);

    // Follows directives to the end of the request.
    outcome run(directive first, event_writer* writer);
    void call(const delivery::start_dispatch& what, event_writer* writer);
    void call(const delivery::start_resume& what, event_writer* writer);
    void report(const upstreams::call_end& end,
                const upstreams::call_key& key,
                base::upstream_id upstream);
    void report_broken(const upstreams::call_broken& end,
                       const upstreams::call_key& key,
                       base::upstream_id upstream);
    upstreams::token_receiver receiver(base::dispatch_id dispatch,
                                       event_writer* writer);
    void fail(const base::verdict& verdict, httplib::Response& response);
    void note_caller(const event_writer* writer);
    upstreams::call_target target_of(base::upstream_id upstream) const;
    base::answer_ptr make_answer() const;
    void tell(delivery::event what);

    context& shared;
    caller_request request;
    std::shared_ptr<request_port> port;
    upstreams::partial_answer so_far;
    request_record record;
    base::answer_ptr made;     // the whole answer, once read
    clock::time_point told_at; // of the last progress told
    bool told_gone = false;
};

} // namespace greengagedrum::callers
