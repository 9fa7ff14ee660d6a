// The thread that alone steps the decision core.
//
// It takes events from the inbox, stamps them with the clock, and carries out
// the actions that need no waiting: directives to callers' threads, breaking
// of connections, messages for the peer links.
#pragma once

#include <greengagedrum/callers/inbox.hpp>
#include <greengagedrum/callers/request_port.hpp>
#include <greengagedrum/delivery/scheduler.hpp>
#include <greengagedrum/trace/recorder.hpp>
#include <greengagedrum/upstreams/directory.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>
#include <unordered_map>
#include <vector>

namespace greengagedrum::daemon
{

// What others may know of the core, refreshed while it works.
struct decision_status {
    using upstream_views = std::vector<placement::upstream_view>;

    delivery::scheduler_counters counters;
    std::size_t in_flight = 0;
    std::size_t waiting = 0; // of those in flight, for an upstream
    std::size_t upstreams_live = 0;
    std::uint64_t list_revision = 0;
    bool stopping = false; // no request can be added to those in flight
    std::shared_ptr<const upstream_views> upstreams; // null before the first
};

class decision_thread
{
public:
    using peer_sender =
        std::function<void(const delivery::send_claim_message&)>;
    using load_teller = std::function<void(capacity::load_digest)>;

    decision_thread(const delivery::scheduler_options& options,
                    callers::inbox& events,
                    upstreams::directory& directory,
                    peer_sender send_to_peer,
                    load_teller tell_load);
    ~decision_thread();
    decision_thread(const decision_thread&) = delete;
    decision_thread& operator=(const decision_thread&) = delete;

    // Before start(): writes all steps as trace lines (trace/recorder.hpp).
    void record_to(int descriptor);

    void start();
    void join();

    decision_status status() const;

private:
    void run();
    std::chrono::microseconds patience() const;
    void take(callers::inbox_item& item);
    void step(const delivery::event& what);

    void carry_out(const delivery::assign_ticket& what);
    void carry_out(const delivery::start_dispatch& what);
    void carry_out(const delivery::start_resume& what);
    void carry_out(const delivery::stop_stream& what);
    void carry_out(const delivery::end_answered& what);
    void carry_out(const delivery::end_failed& what);
    void carry_out(const delivery::send_claim_message& what);
    void carry_out(const delivery::send_load_digest& what);
    void direct(base::request_id request, callers::directive what);
    void note_list(const membership::instance_list& list);
    void publish_status();
    void notice_pause();
    void tell_load_in_turn();
    void publish_upstreams(base::instant now);

    delivery::scheduler_options options;
    delivery::scheduler core;
    callers::inbox& events;
    upstreams::directory& directory;
    peer_sender send_to_peer;
    load_teller tell_load;
    base::duration lease;
    base::instant last_turn;
    base::instant load_due;
    std::unordered_map<base::request_id, std::shared_ptr<callers::request_port>>
        ports;
    std::vector<delivery::action> actions;
    std::optional<trace::recorder> trace;
    mutable std::mutex mutex;
    decision_status shown;
    std::thread thread;
};

} // namespace greengagedrum::daemon
