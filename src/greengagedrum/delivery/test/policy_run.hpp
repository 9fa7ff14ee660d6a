// Two engines and a load in virtual time, under one policy of the line.
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

constexpr std::uint32_t places = 4;
constexpr int engines = 2;
constexpr double prefill_speed = 4000; // tokens a second
constexpr double decode_speed = 40;
constexpr base::duration tick_length = 10ms;

enum class policy { ours, patient, first_come, strict };
enum class burst { of_all, of_urgent, of_urgent_within };

struct load_kind {
    double share; // of the capacity, at load 1
    std::uint32_t prompt;
    std::uint32_t output;
    base::duration deadline;
    base::repetition repetition;
};

// Run times alone: 0.5 s, 1.1 s, 5.5 s and 21 s.
constexpr std::array<load_kind, base::tier_count> kinds = {{
    {0.2, 100, 20, 5s, base::repetition::idempotent},
    {0.1, 400, 40, 10s, base::repetition::idempotent},
    {0.3, 2000, 200, 30s, base::repetition::at_most_once},
    {0.4, 4000, 800, 180s, base::repetition::idempotent},
}};

double run_seconds(const load_kind& kind)
{
    return kind.prompt / prefill_speed + kind.output / decode_speed;
}

struct result {
    std::uint64_t asked = 0;
    std::uint64_t in_time = 0;
    std::uint64_t late = 0;
    std::uint64_t not_run = 0;
    std::vector<double> waits; // seconds from arrival to first dispatch

    double wait(double part)
    {
        if (this->waits.empty())
            return -1;
        std::sort(this->waits.begin(), this->waits.end());
        const auto last = static_cast<double>(this->waits.size() - 1);
        return this->waits[static_cast<std::size_t>(part * last)];
    }
};

struct policy_run {
    policy_run(policy which, burst what, std::uint64_t seed)
        : which(which), what(what), core(options_for(which))
    {
        // One for each kind, so that all policies meet the same arrivals.
        for (std::size_t tier = 0; tier < base::tier_count; ++tier)
            this->generators[tier].seed(seed * base::tier_count + tier + 1);
        config::snapshot snapshot;
        membership::instance_list list;
        for (int i = 0; i < engines; ++i) {
            config::upstream_entry one;
            one.name = "engine-" + std::to_string(i);
            one.id = base::upstream_id(one.name);
            one.data_centre = base::data_centre_id("rabat");
            one.upstream_class = base::upstream_class_id("dossier");
            one.models = {"possession"};
            one.max_in_flight = places;
            one.prefill_tokens_per_second = prefill_speed;
            one.decode_tokens_per_second = decode_speed;
            snapshot.fleet.upstreams.push_back(one);
            list.instances.push_back({one.name,
                                      membership::instance_type::upstream,
                                      "rabat",
                                      "127.0.0.1:1",
                                      membership::listed_state::live});
        }
        this->step(
            config_changed{std::make_shared<const config::snapshot>(snapshot)});
        this->step(instances_listed{list});
    }

    static scheduler_options options_for(policy which)
    {
        scheduler_options out;
        out.data_centre = base::data_centre_id("rabat");
        if (which == policy::patient)
            out.admission.shed_estimate_factor = 0;
        if (which == policy::first_come || which == policy::strict) {
            out.admission.shed_estimate_factor = 0;
            out.admission.floor_age.fill(10h);
            out.admission.overdraft_share = 0;
            out.admission.hard_factor = 1;
            out.admission.preemptions_max = 0;
            out.admission.distress_hold = 0s;
        }
        return out;
    }

    // Arrivals of a kind per second at time `t` of the run.
    double rate(std::size_t tier, double t) const
    {
        const bool in_burst = t >= 30 && t < 90;
        double load = 0.8;
        if (in_burst && this->what == burst::of_all)
            load = 2.0;
        if (in_burst && this->what == burst::of_urgent && tier == 0)
            load = 8.0; // 1.6 of the capacity
        if (in_burst && this->what == burst::of_urgent_within && tier == 0)
            load = 4.25; // 0.85 of it
        return load * kinds[tier].share * places * engines /
               run_seconds(kinds[tier]);
    }

    void run()
    {
        for (double t = 0; t < 150 || this->core.in_flight() > 0;) {
            if (t < 150)
                for (std::size_t tier = 0; tier < base::tier_count; ++tier)
                    this->arrivals(tier, t);
            this->advance_streams();
            this->step(tick{});
            this->now += tick_length;
            t += std::chrono::duration<double>(tick_length).count();
            REQUIRE(t < 2000);
        }
    }

    void arrivals(std::size_t tier, double t)
    {
        std::poisson_distribution<int> count(
            this->rate(tier, t) *
            std::chrono::duration<double>(tick_length).count());
        for (int left = count(this->generators[tier]); left > 0; --left)
            this->arrive(tier);
    }

    void arrive(std::size_t tier)
    {
        const load_kind& kind = kinds[tier];
        request_arrived what_came;
        what_came.request = base::request_id{++this->last_request};
        base::request_spec& work = what_came.spec;
        work.workspace = base::workspace_id("kenitra");
        work.kind = base::kind_id("kind-" + std::to_string(tier));
        work.upstream_class = base::upstream_class_id("dossier");
        work.model = base::model_id("possession");
        work.repetition = kind.repetition;
        work.preemptible = kind.repetition == base::repetition::idempotent;
        work.prompt_tokens = kind.prompt;
        work.output_tokens = kind.output;
        work.tier = base::all_tiers[tier];
        what_came.deadline_after = kind.deadline;
        if (this->which == policy::first_come) {
            // One tier and one deadline: the order of arrival.
            work.tier = base::tier::standard;
            what_came.deadline_after = 180s;
            work.output_tokens = 1;
            work.prompt_tokens = 1;
        }
        this->asked[what_came.request] =
            question{tier, this->now, this->now + kind.deadline, {}, {}};
        this->results[tier].asked += 1;
        this->step(what_came);
    }

    void advance_streams()
    {
        std::map<base::upstream_id, int> loads;
        for (const auto& [id, own] : this->streams)
            loads[own.upstream] += 1;
        std::vector<base::dispatch_id> done;
        std::vector<base::dispatch_id> alive;
        for (auto& [id, own] : this->streams) {
            const double speed = std::min(
                1.0, static_cast<double>(places) / loads[own.upstream]);
            own.left -=
                speed * std::chrono::duration<double>(tick_length).count();
            if (own.left <= 0)
                done.push_back(id);
            else
                alive.push_back(id);
        }
        for (const base::dispatch_id id : alive) {
            const auto found = this->streams.find(id);
            if (found == this->streams.end())
                continue;
            stream& own = found->second;
            const auto tokens = static_cast<std::uint32_t>(
                std::max(0.0, (own.decode_seconds - own.left) * decode_speed));
            if (tokens > own.told)
                this->step(stream_progressed{id, own.told = tokens});
        }
        for (const base::dispatch_id id : done)
            if (this->streams.erase(id) > 0)
                this->step(stream_finished{
                    id, std::make_shared<const base::answer>()});
    }

    void step(const event& happened)
    {
        std::vector<action> actions;
        this->core.step(happened, this->now, actions);
        for (const action& one : actions)
            std::visit([this](const auto& done) { this->on(done); }, one);
    }

    void on(const start_dispatch& done)
    {
        question& own = this->asked.at(done.request);
        const load_kind& kind = kinds[own.tier];
        if (!own.dispatched)
            this->results[own.tier].waits.push_back(
                std::chrono::duration<double>(this->now - own.arrived).count());
        own.dispatched = true;
        this->streams[done.dispatch] = stream{
            done.upstream, run_seconds(kind), kind.output / decode_speed, 0};
    }
    void on(const stop_stream& done)
    {
        if (done.cancel)
            this->streams.erase(done.dispatch);
    }
    void on(const end_answered& done)
    {
        question& own = this->asked.at(done.request);
        own.in_time = this->now <= own.deadline;
        if (own.in_time)
            this->results[own.tier].in_time += 1;
        else
            this->results[own.tier].late += 1;
    }
    void on(const end_failed& done)
    {
        question& own = this->asked.at(done.request);
        if (done.verdict.run == base::run_state::not_run)
            this->results[own.tier].not_run += 1;
        // By what the caller's kind is, also where the policy does not know.
        bool lower = false;
        for (const auto& [id, running] : this->streams)
            lower = lower || running.decode_seconds >
                                 kinds[own.tier].output / decode_speed;
        if (admission::counts_as_shed(done.verdict) && lower)
            this->shed_before_lower += 1;
    }
    void on(const assign_ticket& done) { static_cast<void>(done); }
    void on(const start_resume& done) { static_cast<void>(done); }
    void on(const send_claim_message& done) { static_cast<void>(done); }

    void on(const send_load_digest& done) { static_cast<void>(done); }

    struct question {
        std::size_t tier = 0;
        base::instant arrived;
        base::instant deadline;
        bool dispatched = false;
        bool in_time = false;
    };
    struct stream {
        base::upstream_id upstream;
        double left = 0; // seconds at full speed
        double decode_seconds = 0;
        std::uint32_t told = 0;
    };

    policy which;
    burst what;
    scheduler core;
    base::instant now;
    std::uint64_t last_request = 0;
    std::uint64_t shed_before_lower = 0;
    std::array<std::mt19937_64, base::tier_count> generators;
    std::array<result, base::tier_count> results;
    std::map<base::request_id, question> asked;
    std::map<base::dispatch_id, stream> streams;
};

} // namespace greengagedrum::delivery
