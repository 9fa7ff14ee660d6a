// The threads that keep the documents up to date: one steps the spreader, one
// calls the platform's service.
//
// Whom to ask and when is the spreader's decision (config/spreader.hpp); what
// comes goes to the configuration thread. A call of the service may hang for
// as long as the service likes, so it is made on a thread of its own, which
// holds up neither the asking of peers nor the noticing that the call is late.
#pragma once

#include <greengagedrum/config/spreader.hpp>
#include <greengagedrum/config_service/service_client.hpp>
#include <greengagedrum/rings/bounded_queue.hpp>

#include <atomic>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace greengagedrum::daemon
{

class config_thread;
class peer_duty;

struct document_duty_options {
    config::spread_settings spread;
    base::data_centre_id data_centre;
    std::vector<std::string> platform_addresses;
    std::uint64_t seed = 0;
};

// As of the last step, some 50 ms ago.
struct document_status {
    bool ready = false;
    bool watching = false;
    base::platform_reachability contact = base::platform_reachability::unknown;
    config::spread_ages ages;
    config::spread_counters counters;
};

class document_duty
{
public:
    document_duty(const document_duty_options& given,
                  config_thread& documents,
                  peer_duty& peers);
    ~document_duty();
    document_duty(const document_duty&) = delete;
    document_duty& operator=(const document_duty&) = delete;

    void start();
    void stop();

    // A peer's documents were offered to the configuration thread; by the
    // peer duty's thread.
    void documents_came(base::slot_id from);

    bool ready() const { return this->is_ready; }
    bool watching() const { return this->is_watching; }
    document_status status() const;

private:
    void run();
    void call_in_turn();
    void call(const config::ask_service& what);
    void tell(const config::spread_event& event);
    void tick();
    void step(const config::spread_event& event);
    void carry_out(const config::ask_peer& what);
    void carry_out(const config::ask_service& what);
    void carry_out(const config::drop_service_call& what);
    config::held_state held() const;
    void publish();

    static constexpr std::size_t events_max = 1024;
    static constexpr std::size_t calls_max = 4;

    document_duty_options options;
    config_thread& documents;
    peer_duty& peers;
    config_service::service_client service;
    rings::bounded_queue<config::spread_event> events{events_max};
    rings::bounded_queue<config::ask_service> calls{calls_max};
    config::spreader decisions; // and these two: the stepping thread only
    std::mt19937_64 step_random;
    bool was_lost = false;
    std::mt19937_64 call_random;           // the calling thread only
    std::atomic<std::uint64_t> calling{0}; // number of the call under way
    std::atomic<bool> is_ready{false};
    std::atomic<bool> is_watching{false};
    mutable std::mutex mutex;
    document_status shown;
    std::thread stepping;
    std::thread caller;
};

} // namespace greengagedrum::daemon
