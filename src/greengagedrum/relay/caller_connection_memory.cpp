// The part of a caller's connection that keeps to the memory of the process.
#include <greengagedrum/base/retry_after.hpp>
#include <greengagedrum/relay/caller_connection.hpp>

#include <linux/sockios.h>
#include <poll.h>
#include <sys/ioctl.h>

namespace greengagedrum::relay
{

namespace
{

// A body in chunks says no length. It takes room in steps of at least this.
constexpr std::size_t chunked_step = 32U << 10U;

// Bytes that the kernel holds of a socket; 0 if it doesn't tell.
std::uint64_t queued_bytes(tcp::socket& socket, unsigned long which)
{
    int count = 0;
    if (::ioctl(socket.native_handle(), which, &count) != 0)
        return 0;
    return static_cast<std::uint64_t>(std::max(0, count));
}

bool is_closed_by_peer(tcp::socket& socket)
{
    pollfd one{socket.native_handle(), POLLRDHUP, 0};
    return ::poll(&one, 1, 0) > 0;
}

} // namespace

std::uint64_t caller_connection::room_needed() const
{
    const std::size_t size = this->reader->body().size();
    if (this->reader->done())
        return size;
    if (const auto length = this->reader->body_length())
        return *length;
    if (size + this->arrived.size() <= this->body_room.bytes())
        return this->body_room.bytes();
    const std::uint64_t step = std::max(chunked_step, 2 * size);
    return std::min<std::uint64_t>(
        step,
        std::max<std::uint64_t>(this->events.memory->levels().connection_share,
                                size + this->arrived.size()));
}

std::uint64_t caller_connection::further_room_needed() const
{
    const std::uint64_t needed = this->room_needed();
    return needed - std::min(needed, this->body_room.bytes());
}

// False: the body has to wait, or was rejected.
bool caller_connection::take_room()
{
    if (!this->reader->head_done())
        return true;
    const memory::account& account = *this->events.memory;
    if (!this->is_classified) {
        this->is_classified = true;
        this->classified_at = this->events.clock();
        this->body_kind = this->events.classify(this->reader->head());
        this->unsent_room.set_workspace(this->body_kind.workspace);
        this->body_room = {this->events.memory,
                           memory::kind::request_bodies,
                           this->body_kind.workspace};
    }
    const std::uint64_t needed = this->room_needed();
    if (!account.fits_connection(needed)) {
        this->reject_for_room();
        return false;
    }
    const std::uint64_t had = this->body_room.bytes();
    // What came with its head is here already, and can only be counted.
    if (this->reader->done() || needed <= had ||
        account.may_read_body(this->body_kind.workspace, needed - had)) {
        this->body_room.resize(needed);
        this->reader->reserve_body(needed);
        this->waits.reset();
        return true;
    }
    if (!this->waits)
        this->waits = this->events.clock();
    return false;
}

void caller_connection::retry_body()
{
    if (!this->waits || this->closed || !this->take_room())
        return;
    this->read_at = this->events.clock();
    this->send_continue();
    this->process();
    this->read();
}

memory::reservation caller_connection::take_body_reservation()
{
    return std::move(this->body_room);
}

std::uint64_t caller_connection::unfinished_body_bytes() const
{
    const bool unfinished = !this->busy && !this->closed && !this->lingering;
    if (!unfinished)
        return 0;
    // While it waits, bytes of it may lie unread in the kernel.
    return this->body_room.bytes() + (this->waits ? this->buffers.bytes() : 0);
}

base::duration caller_connection::body_stalled(base::instant now) const
{
    if (this->unfinished_body_bytes() == 0 || this->waits)
        return base::duration(0);
    return now - this->read_at;
}

void caller_connection::reject(const own_answer& why)
{
    this->events.rejected(
        this->shared_from_this(), why, this->body_room.bytes());
    this->waits.reset();
    this->closing = true;
    this->busy = true;
    this->inbox = {};
    this->answer(why);
    // What is still sent is read and dropped, as after each last answer.
    this->read();
    this->buffers.resize(sizeof(*this) + this->arrived.size());
}

void caller_connection::reject_for_room()
{
    const base::duration waited =
        this->is_classified ? this->events.clock() - this->classified_at
                            : base::duration(0);
    this->reject({503,
                  "no room for the body",
                  base::retry_after(memory::room_renewed_after,
                                    this->body_kind.time_left - waited)});
}

void caller_connection::release_body()
{
    this->body_room.resize(0);
    if (this->events.memory)
        this->reader->take_body();
}

void caller_connection::check_stopped()
{
    if (this->closed || !this->events.memory)
        return;
    if (!this->reads && !this->lingering && is_closed_by_peer(this->socket)) {
        if (this->busy)
            this->events.left(this->shared_from_this());
        return this->close();
    }
    std::uint64_t held =
        sizeof(*this) + this->arrived.size() + this->inbox.capacity();
    if (!this->reads)
        held += queued_bytes(this->socket, SIOCINQ);
    if (this->writes)
        held += queued_bytes(this->socket, SIOCOUTQ);
    this->buffers.resize(held);
}

void caller_connection::on_bytes_taken(std::size_t count)
{
    if (count > this->taken)
        this->taken_at = this->events.clock();
    this->taken = count;
}

void caller_connection::count_unsent()
{
    this->unsent_room.resize(this->unsent() == 0
                                 ? 0
                                 : this->outbox.capacity() +
                                       this->writing.capacity());
}

memory::unread_response caller_connection::unread(base::instant now) const
{
    if (this->closed)
        return {};
    return {this->unsent() - this->taken, now - this->taken_at};
}

} // namespace greengagedrum::relay
