// A simulation of one queue policy on two upstreams in virtual time.
#pragma once

#include <greengagedrum/admission/invariant.hpp>
#include <greengagedrum/delivery/scheduler.hpp>

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <map>
#include <memory>
#include <random>
#include <string>

namespace greengagedrum::delivery
{

using namespace std::chrono_literals;

constexpr std::uint32_t slots = 4;
constexpr int upstream_count = 2;
constexpr double prefill_tokens_per_second = 4000;
constexpr double decode_tokens_per_second = 40;
constexpr base::duration tick_length = 10ms;

// `production` uses the default options; `reject_at_deadline` is the same but
// gives up on a request only at its deadline. `first_come` and `strict` (strict
// priority) also turn off floors, overdrafts, preemption and the hold of lower
// tiers during distress.
enum class policy { production, reject_at_deadline, first_come, strict };
enum class burst { all_tiers, urgent_over_capacity, urgent_within_capacity };

struct workload {
    double share; // of the total capacity, at load 1
    std::uint32_t prompt;
    std::uint32_t output;
    base::duration deadline;
    base::repetition repetition;
};

// One workload per tier. Run times on an idle upstream: 0.5 s, 1.1 s, 5.5 s and
// 21 s.
constexpr std::array<workload, base::tier_count> workloads = {{
    {0.2, 100, 20, 5s, base::repetition::idempotent},
    {0.1, 400, 40, 10s, base::repetition::idempotent},
    {0.3, 2000, 200, 30s, base::repetition::at_most_once},
    {0.4, 4000, 800, 180s, base::repetition::idempotent},
}};

double run_seconds(const workload& load)
{
    return load.prompt / prefill_tokens_per_second +
           load.output / decode_tokens_per_second;
}

struct tier_result {
    std::uint64_t arrivals = 0;
    std::uint64_t in_time = 0;
    std::uint64_t late = 0;
    std::uint64_t not_run = 0;
    std::vector<double> waits; // seconds from arrival to first dispatch

    double wait_quantile(double quantile)
    {
        if (this->waits.empty())
            return -1;
        std::sort(this->waits.begin(), this->waits.end());
        const auto last = static_cast<double>(this->waits.size() - 1);
        return this->waits[static_cast<std::size_t>(quantile * last)];
    }
};

// Runs a scheduler with one policy under a load with a burst. Streams of one
// upstream share its speed once there are more of them than slots.
struct policy_run {
    policy_run(policy queue_policy, burst burst_kind, std::uint64_t seed)
        : queue_policy(queue_policy), burst_kind(burst_kind),
          core(options_for(queue_policy))
    {
        // One generator per tier, so that all policies get the same arrivals.
        for (std::size_t tier = 0; tier < base::tier_count; ++tier)
            this->generators[tier].seed(seed * base::tier_count + tier + 1);
        config::snapshot snapshot;
        membership::instance_list list;
        for (int i = 0; i < upstream_count; ++i) {
            config::upstream_entry upstream;
            upstream.name = "engine-" + std::to_string(i);
            upstream.id = base::upstream_id(upstream.name);
            upstream.data_centre = base::data_centre_id("rabat");
            upstream.upstream_class = base::upstream_class_id("dossier");
            upstream.models = {"possession"};
            upstream.max_in_flight = slots;
            upstream.prefill_tokens_per_second = prefill_tokens_per_second;
            upstream.decode_tokens_per_second = decode_tokens_per_second;
            snapshot.fleet.upstreams.push_back(upstream);
            list.instances.push_back({upstream.name,
                                      membership::instance_type::upstream,
                                      "rabat",
                                      "127.0.0.1:1",
                                      membership::listed_state::live});
        }
        this->step(
            config_changed{std::make_shared<const config::snapshot>(snapshot)});
        this->step(instances_listed{list});
    }

    static scheduler_options options_for(policy queue_policy)
    {
        scheduler_options out;
        out.data_centre = base::data_centre_id("rabat");
        if (queue_policy == policy::reject_at_deadline)
            out.admission.shed_estimate_factor = 0;
        if (queue_policy == policy::first_come ||
            queue_policy == policy::strict) {
            out.admission.shed_estimate_factor = 0;
            out.admission.floor_age.fill(10h);
            out.admission.overdraft_share = 0;
            out.admission.hard_factor = 1;
            out.admission.preemptions_max = 0;
            out.admission.distress_hold = 0s;
        }
        return out;
    }

    // Arrivals of a tier per second at time `t` (seconds) of the run.
    double rate(std::size_t tier, double t) const
    {
        const bool in_burst = t >= 30 && t < 90;
        double load = 0.8;
        if (in_burst && this->burst_kind == burst::all_tiers)
            load = 2.0;
        if (in_burst && this->burst_kind == burst::urgent_over_capacity &&
            tier == 0)
            load = 8.0; // 1.6 times the capacity
        if (in_burst && this->burst_kind == burst::urgent_within_capacity &&
            tier == 0)
            load = 4.25; // 0.85 times the capacity
        return load * workloads[tier].share * slots * upstream_count /
               run_seconds(workloads[tier]);
    }

    void run()
    {
        for (double t = 0; t < 150 || this->core.in_flight() > 0;) {
            if (t < 150)
                for (std::size_t tier = 0; tier < base::tier_count; ++tier)
                    this->generate_arrivals(tier, t);
            this->advance_streams();
            this->step(tick{});
            this->now += tick_length;
            t += std::chrono::duration<double>(tick_length).count();
            REQUIRE(t < 2000);
        }
    }

    void generate_arrivals(std::size_t tier, double t)
    {
        std::poisson_distribution<int> count(
            this->rate(tier, t) *
            std::chrono::duration<double>(tick_length).count());
        for (int left = count(this->generators[tier]); left > 0; --left)
            this->send_request(tier);
    }

    void send_request(std::size_t tier)
    {
        const workload& load = workloads[tier];
        request_arrived arrival;
        arrival.request = base::request_id{++this->last_request};
        base::request_spec& spec = arrival.spec;
        spec.workspace = base::workspace_id("kenitra");
        spec.kind = base::kind_id("kind-" + std::to_string(tier));
        spec.upstream_class = base::upstream_class_id("dossier");
        spec.model = base::model_id("possession");
        spec.repetition = load.repetition;
        spec.preemptible = load.repetition == base::repetition::idempotent;
        spec.prompt_tokens = load.prompt;
        spec.output_tokens = load.output;
        spec.tier = base::all_tiers[tier];
        arrival.deadline_after = load.deadline;
        if (this->queue_policy == policy::first_come) {
            // The same tier, deadline and size for all requests gives the
            // order of arrival.
            spec.tier = base::tier::standard;
            arrival.deadline_after = 180s;
            spec.output_tokens = 1;
            spec.prompt_tokens = 1;
        }
        this->requests[arrival.request] =
            request_record{tier, this->now, this->now + load.deadline, {}, {}};
        this->results[tier].arrivals += 1;
        this->step(arrival);
    }

    void advance_streams()
    {
        std::map<base::upstream_id, int> loads;
        for (const auto& [id, record] : this->streams)
            loads[record.upstream] += 1;
        std::vector<base::dispatch_id> finished;
        std::vector<base::dispatch_id> running;
        for (auto& [id, record] : this->streams) {
            const double relative_speed = std::min(
                1.0, static_cast<double>(slots) / loads[record.upstream]);
            record.remaining_seconds -=
                relative_speed *
                std::chrono::duration<double>(tick_length).count();
            if (record.remaining_seconds <= 0)
                finished.push_back(id);
            else
                running.push_back(id);
        }
        for (const base::dispatch_id id : running) {
            const auto found = this->streams.find(id);
            if (found == this->streams.end())
                continue;
            stream& record = found->second;
            const auto tokens = static_cast<std::uint32_t>(
                std::max(0.0,
                         (record.decode_seconds - record.remaining_seconds) *
                             decode_tokens_per_second));
            if (tokens > record.reported_tokens)
                this->step(
                    stream_progressed{id, record.reported_tokens = tokens});
        }
        for (const base::dispatch_id id : finished)
            if (this->streams.erase(id) > 0)
                this->step(stream_finished{
                    id, std::make_shared<const base::answer>()});
    }

    void step(const event& input)
    {
        std::vector<action> actions;
        this->core.step(input, this->now, actions);
        for (const action& one : actions)
            std::visit([this](const auto& order) { this->execute(order); },
                       one);
    }

    void execute(const start_dispatch& order)
    {
        request_record& record = this->requests.at(order.request);
        const workload& load = workloads[record.tier];
        if (!record.dispatched)
            this->results[record.tier].waits.push_back(
                std::chrono::duration<double>(this->now - record.arrived)
                    .count());
        record.dispatched = true;
        this->streams[order.dispatch] =
            stream{order.upstream,
                   run_seconds(load),
                   load.output / decode_tokens_per_second,
                   0};
    }
    void execute(const stop_stream& order)
    {
        if (order.cancel)
            this->streams.erase(order.dispatch);
    }
    void execute(const end_answered& order)
    {
        request_record& record = this->requests.at(order.request);
        record.in_time = this->now <= record.deadline;
        if (record.in_time)
            this->results[record.tier].in_time += 1;
        else
            this->results[record.tier].late += 1;
    }
    void execute(const end_failed& order)
    {
        request_record& record = this->requests.at(order.request);
        if (order.verdict.run == base::run_state::not_run)
            this->results[record.tier].not_run += 1;
        // Compares the original tiers, which the first_come policy hides from
        // the scheduler. A lower tier has a longer decode time.
        bool lower_tier_runs = false;
        for (const auto& [id, running] : this->streams)
            lower_tier_runs =
                lower_tier_runs ||
                running.decode_seconds >
                    workloads[record.tier].output / decode_tokens_per_second;
        if (admission::counts_as_shed(order.verdict) && lower_tier_runs)
            this->shed_before_lower += 1;
    }
    void execute(const assign_ticket& order) { static_cast<void>(order); }
    void execute(const start_resume& order) { static_cast<void>(order); }
    void execute(const send_claim_message& order) { static_cast<void>(order); }

    void execute(const send_load_digest& order) { static_cast<void>(order); }

    struct request_record {
        std::size_t tier = 0;
        base::instant arrived;
        base::instant deadline;
        bool dispatched = false;
        bool in_time = false;
    };
    struct stream {
        base::upstream_id upstream;
        double remaining_seconds = 0; // at full speed
        double decode_seconds = 0;
        std::uint32_t reported_tokens = 0;
    };

    policy queue_policy;
    burst burst_kind;
    scheduler core;
    base::instant now;
    std::uint64_t last_request = 0;
    std::uint64_t shed_before_lower = 0;
    std::array<std::mt19937_64, base::tier_count> generators;
    std::array<tier_result, base::tier_count> results;
    std::map<base::request_id, request_record> requests;
    std::map<base::dispatch_id, stream> streams;
};

} // namespace greengagedrum::delivery
