// The part of an exchange that ends the response to its caller, and tells
// whether the upstream's has ended.
#include <greengagedrum/entry/exchange.hpp>

#include <utility>

namespace greengagedrum::entry
{

namespace
{

constexpr std::string_view closed_inside_event = "closed inside an event";
constexpr std::string_view closed_before_body = "closed before the body";

unsigned status_code_of(const base::verdict& verdict)
{
    if (verdict.run == base::run_state::not_run)
        return verdict.why == base::reason::limit_reached ? 429 : 503;
    return verdict.why == base::reason::deadline ? 504 : 502;
}

} // namespace

std::string_view exchange::unfinished_end() const
{
    if (this->framing != relay::body_framing::until_close)
        return {};
    const bool any =
        this->streaming ? this->event_count > 0 : !this->buffered_body.empty();
    if (!any && this->has_success_status())
        return closed_before_body;
    if (!this->is_event_stream())
        return {};
    if (this->streaming)
        return this->splitter.rest_size() > 0 ? closed_inside_event
                                              : std::string_view();
    relay::event_splitter whole;
    whole.feed(this->buffered_body);
    while (whole.next()) {
    }
    return whole.rest_size() > 0 ? closed_inside_event : std::string_view();
}

void exchange::deliver(bool closing)
{
    if (closing)
        this->caller->set_closing();
    if (!this->streaming) {
        // The handlers of the call may keep this object for longer.
        const std::string body = std::exchange(this->buffered_body, {});
        this->response_room.resize(0);
        return this->caller->answer(this->caller_response_head(), body);
    }
    this->caller->begin_pieces(this->caller_response_head());
    this->caller->send_piece(this->splitter.take_rest());
    this->caller->end_pieces();
}

void exchange::fail(const base::verdict& verdict)
{
    this->stop_send();
    // A partly sent response can't be withdrawn. The connection is aborted, so
    // that the response does not look complete.
    if (this->caller->pieces_begun())
        // The process exits before a caller could ask for what a reset loses.
        return verdict.why == base::reason::stopping ? this->caller->break_off()
                                                     : this->caller->abort();
    this->caller->answer(
        relay::own_answer{status_code_of(verdict),
                          std::string(base::to_string(verdict.why)),
                          verdict.retry_after});
}

} // namespace greengagedrum::entry
