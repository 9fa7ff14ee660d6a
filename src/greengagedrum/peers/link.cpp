#include <greengagedrum/peers/link.hpp>
#include <greengagedrum/peers/tcp.hpp>

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>

namespace greengagedrum::peers
{

namespace
{

constexpr std::size_t read_bytes = std::size_t{64} * 1024;
constexpr int reads_max = 4; // in a row, so that no link holds up the others
constexpr int promises_missed = 3; // heartbeats not come: the link is silent
constexpr std::size_t number_bytes = 4;
constexpr std::size_t control_times_max = 64;

std::string number_text(std::uint32_t number)
{
    std::string out;
    for (std::size_t byte = 0; byte < number_bytes; ++byte)
        out.push_back(static_cast<char>(number >> (byte_bits * byte)));
    return out;
}

std::uint32_t number_from(std::string_view text)
{
    std::uint32_t out = 0;
    for (std::size_t byte = 0; byte < number_bytes; ++byte)
        out |= std::uint32_t{static_cast<unsigned char>(text[byte])}
               << (byte_bits * byte);
    return out;
}

std::string life_text(base::incarnation life)
{
    std::string out;
    for (std::size_t byte = 0; byte < sizeof(life.value); ++byte)
        out.push_back(static_cast<char>(life.value >> (byte_bits * byte)));
    return out;
}

base::incarnation life_from(std::string_view text)
{
    base::incarnation out;
    for (std::size_t byte = 0; byte < std::min(text.size(), sizeof(out.value));
         ++byte)
        out.value |= std::uint64_t{static_cast<unsigned char>(text[byte])}
                     << (byte_bits * byte);
    return out;
}

} // namespace

link::link(descriptor connection,
           base::slot_id dialled_to,
           const link_nonce& nonce,
           const link_settings& shared,
           base::instant now)
    : socket(std::move(connection)), expected(dialled_to),
      settings(shared), own_hello{shared.own, nonce},
      current(dialled_to.empty() ? link_state::greeting
                                 : link_state::connecting),
      opened(now), heard(now), silent_after(shared.silent_default)
{
    this->outgoing = encode_hello(this->own_hello);
}

short link::interest() const
{
    if (this->current == link_state::connecting)
        return POLLOUT;
    const bool waits = this->written < this->outgoing.size() ||
                       (this->current == link_state::up &&
                        (this->control || !this->bulk.empty()));
    return static_cast<short>(waits ? POLLIN | POLLOUT : POLLIN);
}

void link::handle(short found,
                  base::instant now,
                  std::vector<received_payload>& out)
{
    if (this->current == link_state::closed)
        return;
    if (this->current == link_state::connecting) {
        if ((found & (POLLOUT | POLLERR | POLLHUP)) != 0)
            this->begin();
        return;
    }
    if ((found & (POLLIN | POLLERR | POLLHUP)) != 0)
        this->read_some(now, out);
    if (this->current != link_state::closed)
        this->flush();
}

void link::begin()
{
    if (!connected(this->socket)) {
        this->close(close_cause::lost);
        return;
    }
    this->current = link_state::greeting;
    this->flush();
}

void link::read_some(base::instant now, std::vector<received_payload>& out)
{
    std::array<char, read_bytes> buffer; // NOLINT: filled by recv
    for (int reads = 0; reads < reads_max; ++reads) {
        const ssize_t got =
            ::recv(this->socket.get(), buffer.data(), buffer.size(), 0);
        if (got < 0 && (errno == EAGAIN || errno == EINTR))
            return;
        if (got <= 0) {
            this->close(close_cause::lost);
            return;
        }
        const auto size = static_cast<std::size_t>(got);
        this->counted.bytes_in += size;
        this->incoming.append(buffer.data(), size);
        this->parse(now, out);
        if (this->current == link_state::closed || size < buffer.size())
            return;
    }
}

void link::parse(base::instant now, std::vector<received_payload>& out)
{
    if (this->current == link_state::greeting && !this->take_hello())
        return;
    std::string_view left = this->incoming;
    while (this->current != link_state::closed) {
        std::size_t used = 0;
        const auto got = this->opener->take(left, used);
        if (!got) {
            this->close(close_cause::bad_frame);
            return;
        }
        if (!*got)
            break;
        this->take_frame(**got, now, out);
        left.remove_prefix(used);
    }
    this->incoming.erase(0, this->incoming.size() - left.size());
}

// False while the hello is incomplete or when it is not accepted.
bool link::take_hello()
{
    if (this->incoming.size() < hello_bytes)
        return false;
    const auto got =
        decode_hello(std::string_view(this->incoming).substr(0, hello_bytes));
    if (!got) {
        this->close(close_cause::bad_hello);
        return false;
    }
    this->other = got->sender;
    const bool ours = this->other.slot == this->settings.own.slot;
    if (ours || (this->dialled() && this->other.slot != this->expected)) {
        this->close(close_cause::wrong_peer);
        return false;
    }
    this->incoming.erase(0, hello_bytes);
    const hello& dialler = this->dialled() ? this->own_hello : *got;
    const hello& acceptor = this->dialled() ? *got : this->own_hello;
    const auto key_of = [&](std::string_view shared, bool outwards) {
        return derive_key(
            shared, dialler, acceptor, outwards == this->dialled());
    };
    std::optional<link_key> second;
    if (this->settings.previous_key)
        second = key_of(*this->settings.previous_key, false);
    this->sealer.emplace(key_of(this->settings.key, true));
    this->opener.emplace(key_of(this->settings.key, false), second);
    this->current = link_state::proving;
    this->seal(frame_kind::proof,
               life_text(this->settings.known_life
                             ? this->settings.known_life(this->other.slot)
                             : base::incarnation{}));
    return true;
}

void link::take_frame(const frame& got,
                      base::instant now,
                      std::vector<received_payload>& out)
{
    ++this->counted.frames_in;
    this->heard = now;
    if (got.interval != 0)
        this->silent_after =
            promises_missed * std::chrono::milliseconds(got.interval);
    if (this->current == link_state::proving) {
        this->take_proof(got);
        return;
    }
    switch (got.kind) {
    case frame_kind::proof:
        this->close(close_cause::bad_frame);
        return;
    case frame_kind::control:
        this->take_control(got, out);
        return;
    case frame_kind::part:
    case frame_kind::last:
        this->take_piece(got, out);
        return;
    }
}

void link::take_proof(const frame& got)
{
    if (got.kind != frame_kind::proof) {
        this->close(close_cause::bad_frame);
        return;
    }
    this->told = life_from(got.bytes);
    this->current = link_state::up;
}

void link::take_piece(const frame& got, std::vector<received_payload>& out)
{
    if (this->assembly.size() + got.bytes.size() > payload_bytes_max) {
        this->close(close_cause::bad_frame);
        return;
    }
    this->assembly.append(got.bytes);
    if (got.kind == frame_kind::part)
        return;
    out.push_back({std::move(this->assembly), std::nullopt});
    this->assembly.clear();
}

// Guards against a heartbeat that lay in some buffer for long and passes for a
// fresh one: it names the last of ours that its sender had heard, so it can't
// be older than that one of ours.
void link::take_control(const frame& got, std::vector<received_payload>& out)
{
    if (got.bytes.size() < 2 * number_bytes) {
        this->close(close_cause::bad_frame);
        return;
    }
    this->control_heard = number_from(got.bytes);
    const std::uint32_t answered = number_from(got.bytes.substr(number_bytes));
    std::optional<base::instant> answers;
    const std::uint32_t age = this->controls_sent - answered;
    if (answered != 0 && age < this->control_times.size())
        answers = this->control_times[this->control_times.size() - 1 - age];
    out.push_back({std::string(got.bytes.substr(2 * number_bytes)), answers});
}

void link::seal_control()
{
    const shared_bytes body = std::exchange(this->control, nullptr);
    if (this->settings.clock) {
        ++this->controls_sent;
        this->control_times.push_back(this->settings.clock());
    }
    if (this->control_times.size() > control_times_max)
        this->control_times.pop_front();
    this->seal(frame_kind::control,
               number_text(this->controls_sent) +
                   number_text(this->control_heard) + *body);
}

bool link::queue(shared_bytes bytes)
{
    const std::size_t size = bytes->size();
    const bool fits = size <= payload_bytes_max &&
                      this->bulk_bytes + size <= this->settings.queue_bytes_max;
    if (this->current != link_state::up || !fits) {
        ++this->counted.dropped;
        return false;
    }
    this->bulk_bytes += size;
    this->bulk.push_back(std::move(bytes));
    return true;
}

void link::put_control(shared_bytes bytes)
{
    this->control = std::move(bytes);
}

void link::seal(frame_kind kind, std::string_view bytes)
{
    this->sealer->append({kind, this->settings.interval, bytes},
                         this->outgoing);
    ++this->counted.frames_out;
}

void link::seal_piece()
{
    const std::string_view whole = *this->bulk.front();
    const std::string_view piece =
        whole.substr(this->piece_begin, piece_bytes_max);
    const bool last = this->piece_begin + piece.size() == whole.size();
    this->seal(last ? frame_kind::last : frame_kind::part, piece);
    this->piece_begin += piece.size();
    if (!last)
        return;
    this->bulk_bytes -= whole.size();
    this->bulk.pop_front();
    this->piece_begin = 0;
}

// The heartbeat first, then about one piece's worth of the rest: so the next
// heartbeat waits for no more than that.
void link::refill()
{
    this->outgoing.clear();
    this->written = 0;
    if (this->current != link_state::up)
        return;
    if (this->control)
        this->seal_control();
    while (!this->bulk.empty() && this->outgoing.size() < piece_bytes_max)
        this->seal_piece();
}

void link::flush()
{
    if (this->current == link_state::connecting ||
        this->current == link_state::closed)
        return;
    for (;;) {
        if (this->written == this->outgoing.size())
            this->refill();
        if (this->outgoing.empty())
            return;
        const std::string_view left =
            std::string_view(this->outgoing).substr(this->written);
        const ssize_t sent =
            ::send(this->socket.get(), left.data(), left.size(), MSG_NOSIGNAL);
        if (sent < 0 && (errno == EAGAIN || errno == EINTR))
            return;
        if (sent < 0) {
            this->close(close_cause::lost);
            return;
        }
        this->written += static_cast<std::size_t>(sent);
        this->counted.bytes_out += static_cast<std::uint64_t>(sent);
    }
}

base::instant link::due() const
{
    return this->current == link_state::up
               ? this->heard + this->silent_after
               : this->opened + this->settings.start_patience;
}

// Guards against a connection that something between the ends has forgotten:
// it stays open, writes succeed for minutes, and nothing arrives. Both ends
// hear nothing, so both close it, and a fresh one takes its place.
void link::check(base::instant now)
{
    if (this->current == link_state::closed || now < this->due())
        return;
    this->close(this->current == link_state::up ? close_cause::silent
                                                : close_cause::slow_start);
}

void link::close(close_cause why)
{
    if (this->current == link_state::closed)
        return;
    this->current = link_state::closed;
    this->closed_for = why;
    this->socket.reset();
}

} // namespace greengagedrum::peers
