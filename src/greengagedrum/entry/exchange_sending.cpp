// The part of an exchange that gets its request to an upstream: directly, or
// through a peer.
#include <greengagedrum/entry/exchange.hpp>
#include <greengagedrum/relay/reuse_policy.hpp>

#include <algorithm>

namespace greengagedrum::entry
{

namespace
{

// An upstream that takes no byte of a request for so long will not run it in
// time, while the request holds its memory and a slot.
constexpr base::duration write_timeout = std::chrono::seconds(2);

} // namespace

void exchange::send(std::uint32_t send_number,
                    const routing::published_upstream& to,
                    base::duration time_left)
{
    this->send_number = send_number;
    this->answer = relay::answer_head();
    this->framing = relay::body_framing::none;
    this->release_response();
    this->streaming = false;
    this->event_count = 0;
    this->reading_paused = false;
    this->reused = false;
    this->carrier_stops = false;
    this->sends_begun += 1;
    this->target = to;
    this->sent_at = this->paths.now();
    this->deadline = this->sent_at + time_left;
    this->tried_peers.clear();
    if (this->paths.is_cut_off(to.service))
        return this->send_by_peer();
    this->send_directly();
}

void exchange::make_call()
{
    this->call = std::make_shared<relay::upstream_call>(
        this->context,
        this->make_call_events(),
        this->caller->head().method == "HEAD");
    if (this->kept.enabled())
        this->call->allow_release();
    if (!this->events.memory)
        return;
    this->call->set_write_timeout(write_timeout);
    this->call_room.resize(sizeof(relay::upstream_call));
    this->body_room.set_kind(memory::kind::unsent_to_upstreams);
}

relay::outgoing_request exchange::request_now() const
{
    return {this->request_head(this->target,
                               std::max(base::duration(0),
                                        this->deadline - this->paths.now())),
            this->body};
}

void exchange::send_directly()
{
    this->make_call();
    if (this->send_on_kept_connection())
        return;
    this->call->start(this->target.address, this->request_now());
}

bool exchange::send_on_kept_connection()
{
    if (!relay::reuse_policy::may_use_kept(
            {this->request.may_send_again, this->sends_begun == 1, false}))
        return false;
    auto connection = this->kept.take({this->target.id, this->target.address});
    if (!connection)
        return false;
    this->reused = true;
    this->moved_bytes += this->body->size();
    this->call->start_on(std::move(*connection), this->request_now());
    return true;
}

void exchange::hand_back_connection()
{
    auto connection = this->call->release_connection();
    if (!connection)
        return;
    const platform::answer_marks marks =
        platform::read_answer_marks(this->answer);
    const bool misdirected =
        this->answer.status == platform::misdirected_status;
    const auto time = relay::reuse_policy::time_to_keep(
        {this->framing,
         this->answer.version,
         this->call->request_written(),
         this->call->bytes_follow(),
         marks.attempt == this->request.marks.attempt,
         marks.closes_connection || misdirected,
         !this->peer.address().empty(),
         marks.idle_timeout});
    if (time && this->events.may_keep(this->target))
        this->kept.keep({this->target.id, this->target.address},
                        std::move(*connection),
                        *time);
}

bool exchange::is_answer_to_another() const
{
    return this->reused && platform::read_answer_marks(this->answer).attempt !=
                               this->request.marks.attempt;
}

// The end of a kept connection before any byte says nothing about the upstream:
// it may have closed the connection as idle while the request was on its way.
traffic::interruption_cause
exchange::break_cause_of(relay::call_fault what) const
{
    // Bytes behind the response before on that connection belong to no request.
    const bool before_response = this->answer.status == 0;
    if (what == relay::call_fault::malformed)
        return this->reused && before_response
                   ? traffic::interruption_cause::reused_connection_lost
                   : traffic::interruption_cause::malformed;
    if (what == relay::call_fault::write_stalled)
        return traffic::interruption_cause::write_stalled;
    if (this->reused && !this->call->any_byte_arrived())
        return traffic::interruption_cause::reused_connection_lost;
    return traffic::interruption_cause::connection_lost;
}

void exchange::on_direct_connect(bool connected)
{
    if (connected) {
        this->moved_bytes += this->body->size();
        this->paths.record_connect_time(this->target.id, this->sent_at);
        this->kept.count_opened();
        return this->paths.on_connected(this->target.service, this->sent_at);
    }
    this->paths.on_connect_failed(
        this->target.service, this->target.id, this->sent_at);
    if (this->paths.is_cut_off(this->target.service))
        return this->send_by_peer();
    this->report_not_connected();
}

void exchange::send_by_peer()
{
    constexpr std::size_t peers_most = 3;
    const auto next =
        this->tried_peers.size() < peers_most
            ? this->paths.choose_peer(this->target.service,
                                      this->request.allowed_data_centres,
                                      this->tried_peers)
            : std::nullopt;
    if (!next)
        return this->report_not_connected();
    this->tried_peers.push_back(*next);
    this->peer = this->paths.use_peer(*next);
    this->tunnel = std::make_shared<relay::tunnel_client>(
        this->context,
        [self = this->shared_from_this(),
         peer = *next](relay::tunnel_client::result result) {
            self->on_tunnel(peer, std::move(result));
        });
    this->tunnel->start(
        *next,
        this->paths.own_ip(),
        {this->target.id, this->request.marks.attempt, this->paths.instance()});
}

void exchange::on_tunnel(const base::ip_endpoint& used,
                         relay::tunnel_client::result result)
{
    this->tunnel.reset();
    if (const auto* why = std::get_if<relay::tunnel_failure>(&result)) {
        this->peer.reset();
        this->paths.on_peer_failed(used, this->target.service, *why);
        return this->send_by_peer();
    }
    this->moved_bytes += this->body->size();
    this->paths.on_peer_connected(used, this->target.service);
    this->make_call();
    this->call->start_on(std::move(std::get<relay::tcp::socket>(result)),
                         this->request_now());
}

void exchange::check_carrier()
{
    if (this->carrier_stops || !this->call || this->peer.address().empty() ||
        !this->paths.is_stopping(this->peer.address()))
        return;
    // Nothing is given up while no other way is known.
    if (this->paths.is_cut_off(this->target.service) &&
        !this->paths.choose_peer(
            this->target.service, this->request.allowed_data_centres, {}))
        return;
    this->carrier_stops = true;
    this->events.on_event(
        traffic::carrier_stopping{this->request.id, this->send_number});
}

void exchange::report_own_shortage(const relay::error_code& fault)
{
    this->report_outcome(fault.message());
    this->events.on_event(
        traffic::connect_failed{this->request.id, this->send_number, true});
}

void exchange::report_not_connected()
{
    this->report_outcome("connection failed");
    this->events.on_event(
        traffic::connect_failed{this->request.id, this->send_number});
}

} // namespace greengagedrum::entry
