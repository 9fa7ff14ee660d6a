// The part of a caller's connection that ends it: idle, after its last answer,
// or since the entry stops.
#include <greengagedrum/relay/caller_connection.hpp>

#include <algorithm>

namespace greengagedrum::relay
{

namespace
{

// After its last answer a connection is read until the caller closes it, for
// so long at most. Closed with bytes unread it would be reset, and the answer
// could be lost with it.
constexpr base::duration linger_most = std::chrono::seconds(1);

// Added to the published bound, for a request that is on its way.
constexpr base::duration idle_margin = std::chrono::seconds(1);

} // namespace

void caller_connection::linger()
{
    error_code ignored; // the caller may have closed first
    this->socket.shutdown(tcp::socket::shutdown_send, ignored);
    this->since = this->events.clock();
}

bool caller_connection::is_reading() const
{
    return !this->inbox.empty() || this->reader->head_done();
}

std::optional<base::instant> caller_connection::idle_since() const
{
    if (this->closed || this->busy || this->lingering || this->is_reading() ||
        this->unsent() > 0)
        return std::nullopt;
    return this->since;
}

void caller_connection::close_idle(base::duration idle_for)
{
    const auto idle = this->idle_since();
    if (!idle || this->events.clock() - *idle < idle_for)
        return;
    // A read that has completed, but whose handler has not run, still brings
    // its bytes.
    this->ending_idle = true;
    error_code ignored; // a broken connection is noticed by its read
    this->socket.cancel(ignored);
}

void close_longest_idle(const std::unordered_set<caller_ptr>& from)
{
    caller_ptr longest;
    for (const caller_ptr& one : from) {
        const auto since = one->idle_since();
        if (since && (!longest || *since < *longest->idle_since()))
            longest = one;
    }
    if (longest)
        longest->close_idle();
}

void caller_connection::finish_idle_close()
{
    error_code ignored; // 0 bytes of a broken connection
    if (this->socket.available(ignored) > 0)
        return this->read();
    this->close();
}

bool caller_connection::refuse_unread(const own_answer& why)
{
    if (this->closed || this->busy || this->lingering || !this->is_reading())
        return false;
    this->waits.reset();
    this->closing = true;
    this->busy = true;
    this->inbox = {};
    this->answer(why);
    return true;
}

void caller_connection::break_off()
{
    if (this->closed)
        return;
    // Without chunks, an ordered close marks the end of a whole response.
    if (!this->chunked)
        return this->abort();
    this->close_announced = true;
    this->finish_answer();
}

void caller_connection::abort_unframed()
{
    if (this->unframed && (this->in_pieces || this->unsent() > 0))
        this->abort();
}

void caller_connection::check_time(base::instant now,
                                   const caller_bounds& bounds)
{
    if (this->closed)
        return;
    this->bounds = bounds;
    const base::duration spent = now - this->since;
    if (this->lingering) {
        if (!this->writes && spent > linger_most)
            this->close();
        return;
    }
    if (this->busy)
        return;
    const bool begun = this->is_reading();
    if (begun && !this->reader->head_done() && spent > bounds.head_timeout)
        return this->refuse(read_fault{408, "the head came too slowly"});
    this->idle_timeout = std::max(this->idle_timeout, bounds.idle_timeout);
    if (!begun && spent > this->idle_timeout + idle_margin)
        this->close_idle();
}

void caller_connection::close()
{
    if (this->closed)
        return;
    this->closed = true;
    this->waits.reset();
    this->body_room.resize(0);
    this->outbox = {};
    error_code ignored; // nothing more is to be done with it
    this->socket.close(ignored);
    this->events.closed(this->shared_from_this());
}

} // namespace greengagedrum::relay
