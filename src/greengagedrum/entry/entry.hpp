// The entry process: all its parts on one event loop.
//
// The loop's thread does everything but write log lines. Sockets and decisions
// together take a fraction of a core, and a ring between two threads would cost
// a wake-up per event.
#pragma once

#include <greengagedrum/entry/dispatch_load_log.hpp>
#include <greengagedrum/entry/peer_paths.hpp>
#include <greengagedrum/entry/peer_protocol.hpp>
#include <greengagedrum/entry/peer_socket.hpp>
#include <greengagedrum/entry/request_handler.hpp>
#include <greengagedrum/entry/service_queue_log.hpp>
#include <greengagedrum/entry/settings.hpp>
#include <greengagedrum/entry/store_reader.hpp>
#include <greengagedrum/entry/stream_versions.hpp>
#include <greengagedrum/relay/small_server.hpp>
#include <greengagedrum/relay/tunnel_server.hpp>
#include <greengagedrum/shutdown/loop_turns.hpp>

#include <boost/asio/signal_set.hpp>

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string_view>

namespace greengagedrum::entry
{

class entry
{
public:
    // Reads the settings again. Returns nothing if they are unreadable or
    // unchanged; logs its own errors.
    using settings_loader = std::function<std::optional<settings>()>;

    entry(const settings& initial_settings, settings_loader load_settings);

    // Serves until stopped and until the accepted requests have ended. Throws
    // std::runtime_error if it has stopped since handlers failed repeatedly.
    void run();

    // Requests a stop, like SIGTERM does. May be called from any thread.
    void stop();

    base::ip_endpoint caller_address() const
    {
        return this->handler->address();
    }
    base::ip_endpoint readiness_address() const
    {
        return this->readiness_server->address();
    }

private:
    peer_events make_peer_events();
    peer_transport make_peer_transport();
    peer_paths::owner make_path_events();
    relay::tunnel_server::owner make_tunnel_events();
    void open_optional_ports();
    void open_optional_port(const base::ip_endpoint& address,
                            const char* event, // logged if it is taken
                            const std::function<void()>& open);
    void make_request_handler();
    void make_stream_versions();
    std::string service_name(base::upstream_class_id service) const;
    void on_signal(int number);
    void begin_stop(int number);
    void check_stop();
    // Logs what the entry still holds.
    void log_stop(const char* what, const char* why = "") const;
    void run_loop();
    void on_handler_fault(const char* why);
    void schedule_tick();
    void tick();
    void detect_pause(base::instant now);
    void end_pause(const char* why);
    void check_settings();
    void on_store_items(const routing::store_item_list& items,
                        std::uint64_t as_of,
                        bool complete,
                        const char* source);
    void apply_changes(const cluster_changes& changes, const char* source);
    void on_store_failed(const std::string& why);
    void on_store_answered();
    void apply_bounds();
    bool several_regions() const;
    void measure_store_connect(base::instant now);
    void apply_slow_start_limits();
    relay::small_answer answer_control(std::string_view target);
    relay::small_answer answer_readiness();
    relay::small_answer answer_metrics(const relay::small_question& request);
    std::string metrics_text() const;
    bool ready() const;

    settings own_settings;
    settings_loader load_settings;
    relay::asio::io_context context{1};
    std::chrono::steady_clock::time_point started_at;
    shared_state state;
    base::incarnation incarnation;
    relay::asio::steady_timer timer;
    relay::asio::steady_timer stream_timer;
    boost::asio::signal_set signals;
    memory::reservation tunnel_room;
    std::unique_ptr<peer_paths> paths;
    std::unique_ptr<stream_versions> streams;
    std::unique_ptr<request_handler> handler;
    // Null while the port is taken.
    std::unique_ptr<relay::tunnel_server> tunnels;
    std::unique_ptr<peer_socket> peer_datagram_socket;
    std::unique_ptr<peer_protocol> peers;
    std::unique_ptr<store_reader> store;
    std::unique_ptr<relay::small_server> readiness_server;
    std::unique_ptr<relay::small_server> control_server;
    std::unique_ptr<relay::small_server> metrics_server; // as above
    std::map<std::string_view, bool> missing_ports;      // by event
    base::instant last_store_answer;
    base::instant last_tick;
    base::instant next_tick_due;
    dispatch_load_log dispatch_load;
    service_queue_log service_queues;
    std::optional<shutdown::loop_turns> turns;
    base::instant last_timeout_check;
    base::instant last_settings_check;
    std::optional<base::instant> store_measured_at;
    // Total time the machine was suspended, as of the last tick.
    base::duration total_suspended{0};
    std::optional<base::instant> pause_detected_at;
    std::optional<shutdown::stop_schedule> stopping; // from the signal on
    bool accepting_requests = true;
    bool accepting_connections = true;
    bool requests_ended = false; // by the stop
    bool store_unreachable = false;
    std::uint32_t recent_faults = 0; // of handlers
    base::instant first_recent_fault;
    bool failed = false; // it stops since handlers fail again and again
};

} // namespace greengagedrum::entry
