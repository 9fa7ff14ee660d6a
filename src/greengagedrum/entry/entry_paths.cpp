// The entry's part in requests that go through a peer, at either end.
#include <greengagedrum/entry/entry.hpp>
#include <greengagedrum/logs/write.hpp>

namespace greengagedrum::entry
{

std::string entry::service_name(base::upstream_class_id service) const
{
    if (!this->state.cluster.routes())
        return {};
    for (const routing::service& one :
         this->state.cluster.routes()->config().services) {
        if (one.id == service)
            return one.name;
    }
    return {};
}

peer_paths::owner entry::make_path_events()
{
    peer_paths::owner out;
    out.clock = this->state.clock;
    out.live_peers = [this] {
        return this->peers ? this->peers->serving_peers()
                           : std::vector<reachable_peer>();
    };
    out.is_stopping = [this](const std::string& ip) {
        return this->peers && this->peers->is_stopping(ip);
    };
    out.on_change = [this](base::upstream_class_id service, bool cut_off) {
        logs::write(cut_off ? logs::level::warning : logs::level::info,
                    "paths",
                    cut_off ? "upstreams_cut_off" : "upstreams_reached",
                    {{"service", this->service_name(service)}});
    };
    out.on_connect_timed = [this](base::upstream_id upstream,
                                  base::duration took) {
        this->state.scheduler.record_connect(upstream, took);
    };
    out.on_bytes_moved = [this](base::data_centre_id data_centre,
                                const std::string& peer,
                                std::uint64_t bytes) {
        if (this->peers)
            this->peers->count_request_bytes(data_centre, peer, bytes);
    };
    return out;
}

relay::tunnel_server::owner entry::make_tunnel_events()
{
    relay::tunnel_server::owner out;
    out.is_peer = [this](const std::string& ip) {
        return this->peers->knows_entry(ip);
    };
    out.find_upstream =
        [this](base::upstream_id id) -> std::optional<base::ip_endpoint> {
        const routing::published_upstream* found =
            this->state.cluster.upstreams().find_usable(id);
        if (this->state.stopping || found == nullptr ||
            this->paths->is_cut_off(found->service))
            return std::nullopt;
        return found->address;
    };
    out.on_outcome = [this](const relay::tunnel_outcome& outcome) {
        const relay::tunnel::totals totals =
            outcome.totals.value_or(relay::tunnel::totals());
        this->state.log.write(this->state.clock(),
                              "paths",
                              outcome.totals ? "tunnel_ended" : "tunnel_asked",
                              {{"request", outcome.asked.request},
                               {"peer", outcome.peer},
                               {"instance", outcome.asked.instance},
                               {"verdict", to_string(outcome.verdict)},
                               {"bytes_to_upstream", totals.to_upstream},
                               {"bytes_to_peer", totals.to_peer},
                               {"why", totals.error}});
    };
    return out;
}

// An entry without them serves callers all the same, so it tries again while it
// runs.
void entry::open_optional_ports()
{
    const base::ip_endpoint tunnel_address{this->own_settings.ip,
                                           this->own_settings.peer_port};
    if (!this->tunnels)
        this->open_optional_port(
            tunnel_address, "tunnel_port_unavailable", [&] {
                this->tunnels = std::make_unique<relay::tunnel_server>(
                    this->context,
                    tunnel_address,
                    this->state.descriptors.tunnels,
                    this->make_tunnel_events());
            });
    if (!this->metrics_server)
        this->open_optional_port(
            this->own_settings.metrics_address,
            "metrics_port_unavailable",
            [this] {
                this->metrics_server = std::make_unique<relay::small_server>(
                    this->context,
                    this->own_settings.metrics_address,
                    this->state.descriptors.operators,
                    this->state.clock,
                    [this](const relay::small_question& request) {
                        return this->answer_metrics(request);
                    });
            });
}

void entry::open_optional_port(const base::ip_endpoint& address,
                               const char* event,
                               const std::function<void()>& open)
{
    bool& missing = this->missing_ports[event];
    try {
        open();
        if (missing)
            logs::write(logs::level::info,
                        "entry",
                        "port_available",
                        {{"address", base::to_string(address)}});
        missing = false;
    } catch (const boost::system::system_error& error) {
        if (!missing)
            logs::write(
                logs::level::error,
                "entry",
                event,
                {{"address", base::to_string(address)}, {"why", error.what()}});
        missing = true;
    }
}

peer_transport entry::make_peer_transport()
{
    if (this->own_settings.duties_by_load)
        this->peer_datagram_socket->count_datagrams();
    peer_transport out = this->peer_datagram_socket->transport();
    out.observe_queues = [this] {
        gossip::load_observation observed = this->peer_datagram_socket->queue();
        if (this->control_server)
            observed.transfer_bytes_unsent =
                this->control_server->unsent_bytes();
        return observed;
    };
    return out;
}

void entry::make_request_handler()
{
    this->paths = std::make_unique<peer_paths>(this->own_settings.instance,
                                               this->own_settings.ip,
                                               this->make_path_events());
    this->handler = std::make_unique<request_handler>(
        this->context, this->state, *this->paths, *this->streams);
    this->handler->on_load_changed = [this] {
        if (this->peers)
            this->peers->schedule_gossip();
    };
}

} // namespace greengagedrum::entry
