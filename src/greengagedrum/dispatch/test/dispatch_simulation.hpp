// Simulates members and their dispatcher in front of one service, in virtual
// time: reports and replies take their transit time, some are lost, and callers
// arrive at random.
#pragma once

#include <greengagedrum/dispatch/member_request_table.hpp>
#include <greengagedrum/dispatch/send_status_log.hpp>
#include <greengagedrum/traffic/scheduler.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <unordered_map>
#include <vector>

namespace greengagedrum::dispatch
{

struct simulation_settings {
    std::size_t members = 86;
    std::size_t upstreams = 4;
    std::uint32_t slots = 6;
    base::duration work = std::chrono::milliseconds(60);
    double burst_load = 2; // share of the upstreams' capacity in the burst
    double load_after_burst = 0.7; // share of the capacity after the burst
    base::duration burst = std::chrono::seconds(5);
    base::duration length = std::chrono::seconds(12);
    base::duration transit_time = std::chrono::milliseconds(1);
    double loss_rate = 0.02; // share of messages
    // The dispatcher is killed in the burst, and another one starts half a
    // second later.
    bool dispatcher_dies = false;
    std::uint64_t seed = 7;
};

struct simulation_result {
    std::uint32_t arrived = 0;
    std::uint32_t answered = 0;
    std::uint32_t refused = 0;
    std::uint32_t sent_twice = 0;
    std::uint32_t max_on_one_upstream = 0;
    double busy = 0; // mean share of slots in the burst, after its first second
    base::duration last_refused{0}; // arrived so long after the burst
    std::uint32_t messages = 0;     // highest rate of a member per second
};

class dispatch_simulation
{
public:
    explicit dispatch_simulation(const simulation_settings& settings);

    simulation_result run();

private:
    struct member {
        std::unique_ptr<traffic::scheduler> decisions;
        send_status_log status_log;
        base::instant reported_at;
        bool changed = false;
        std::uint64_t reports = 0;
        std::uint64_t unanswered = 0;
        std::uint32_t messages = 0;
    };

    void schedule(base::instant when, std::function<void()> action);
    void arrive();
    void arrive_next();
    void report(std::size_t from);
    void receive_report(std::size_t from,
                        const member_report& report,
                        std::uint64_t term);
    void answer_members();
    void receive_reply(std::size_t to, const dispatcher_reply& reply);
    void member_step(std::size_t number, const traffic::event& event);
    void member_orders(std::size_t number, const traffic::actions& orders);
    void dispatcher_step(const traffic::event& event);
    void dispatcher_orders(const traffic::actions& orders);
    bool end_work(base::request_id request);
    void note_refusal(base::request_id request);
    void send(std::size_t from, const traffic::send_request& order);
    void tick();
    void begin_dispatcher();
    bool is_lost();
    double arrivals_per_second() const;

    simulation_settings settings;
    std::mt19937_64 random;
    base::instant now{std::chrono::hours(1)};
    base::instant began{std::chrono::hours(1)};
    std::multimap<base::instant, std::function<void()>> events;
    std::vector<member> members;
    std::unordered_map<base::slot_id, std::size_t> member_indices;
    std::unique_ptr<traffic::scheduler> dispatcher; // null while killed
    std::unique_ptr<member_request_table> request_table;
    std::uint64_t term = 0; // increases with each dispatcher
    std::uint64_t next_request = 1;
    std::map<base::upstream_id, std::uint32_t> running;
    std::map<std::uint64_t, base::upstream_id>
        upstream_by_request;                      // by request
    std::map<std::uint64_t, std::uint32_t> sends; // by request
    std::map<std::uint64_t, base::instant> arrived_at;
    double busy_sum = 0;
    double busy_samples = 0;
    simulation_result out;
};

} // namespace greengagedrum::dispatch
