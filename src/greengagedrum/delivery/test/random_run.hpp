// A scheduler under random events, with its invariants checked after each
// event.
#pragma once

#include <greengagedrum/admission/invariant.hpp>
#include <greengagedrum/delivery/scheduler.hpp>

#include <doctest/doctest.h>

#include <map>
#include <memory>
#include <random>
#include <set>

namespace greengagedrum::delivery
{

// Feeds one scheduler random events from a seed and plays its callers,
// upstreams and one peer. step() checks all invariants after every event.
struct random_run {
    explicit random_run(std::uint64_t seed)
        : seed(seed), generator(seed), core(options_for(seed))
    {
        this->publish_config();
        this->list_upstreams();
    }

    static scheduler_options options_for(std::uint64_t seed)
    {
        scheduler_options out;
        out.slot = base::slot_id("zona-4-a");
        out.incarnation = base::incarnation{7};
        out.data_centre = base::data_centre_id("zona-4");
        out.seed = seed;
        out.admission.waiting_max = seed % 2 == 0 ? 20 : 200;
        return out;
    }

    std::uint64_t random_below(std::uint64_t bound)
    {
        return this->generator() % bound;
    }

    bool chance(double probability)
    {
        return std::uniform_real_distribution<double>()(this->generator) <
               probability;
    }

    void publish_config()
    {
        config::snapshot snapshot;
        for (int i = 0; i < 4; ++i) {
            config::upstream_entry upstream;
            upstream.name = "engine-" + std::to_string(i);
            upstream.id = base::upstream_id(upstream.name);
            upstream.data_centre = base::data_centre_id("zona-4");
            upstream.upstream_class =
                base::upstream_class_id(i < 3 ? "photo" : "counter");
            upstream.models = {i == 0 ? "old" : "compliance", "crop"};
            upstream.max_in_flight =
                2 + static_cast<std::uint32_t>(this->random_below(4));
            snapshot.fleet.upstreams.push_back(upstream);
        }
        config::workspace_rules workspace;
        workspace.name = "mall";
        workspace.id = base::workspace_id("mall");
        config::kind_rules kind;
        kind.name = "caption";
        kind.id = base::kind_id("caption");
        kind.max_in_flight = 3;
        kind.tokens_per_second = 500;
        workspace.kinds.push_back(kind);
        snapshot.workspaces.emplace(workspace.name, workspace);
        this->step(
            config_changed{std::make_shared<const config::snapshot>(snapshot)});
    }

    void list_upstreams()
    {
        membership::instance_list list;
        for (int i = 0; i < 4; ++i) {
            if (this->chance(0.2))
                continue;
            list.instances.push_back({"engine-" + std::to_string(i),
                                      membership::instance_type::upstream,
                                      "zona-4",
                                      "127.0.0.1:1",
                                      this->chance(0.2)
                                          ? membership::listed_state::leaving
                                          : membership::listed_state::live});
        }
        this->step(instances_listed{list});
    }

    void send_request()
    {
        request_arrived arrival;
        arrival.request = base::request_id{++this->last_request};
        base::request_spec& spec = arrival.spec;
        spec.workspace =
            base::workspace_id(this->chance(0.2) ? "mall" : "yard");
        spec.kind = base::kind_id(this->chance(0.5) ? "caption" : "review");
        spec.upstream_class =
            base::upstream_class_id(this->chance(0.8) ? "photo" : "counter");
        spec.model = base::model_id(this->chance(0.5) ? "compliance" : "crop");
        spec.tier = base::all_tiers[this->random_below(base::tier_count)];
        spec.repetition = this->chance(0.5) ? base::repetition::idempotent
                                            : base::repetition::at_most_once;
        spec.preemptible = this->chance(0.5);
        spec.prompt_tokens =
            1 + static_cast<std::uint32_t>(this->random_below(5000));
        spec.output_tokens =
            1 + static_cast<std::uint32_t>(this->random_below(500));
        arrival.deadline_after = base::duration(
            static_cast<std::int64_t>(this->random_below(20'000'000)));
        request_record added;
        added.spec = spec;
        this->requests.emplace(arrival.request, added);
        this->step(arrival);
    }

    void step_stream()
    {
        const auto chosen =
            std::next(this->streams.begin(),
                      static_cast<std::ptrdiff_t>(
                          this->random_below(this->streams.size())));
        const base::dispatch_id id = chosen->first;
        stream& record = chosen->second;
        const std::uint64_t roll = this->random_below(100);
        if (record.resume_count == 0 && !record.has_started && roll < 8) {
            const auto connection = record.connection;
            this->refused.insert(id);
            this->step(connect_refused{id, connection});
        } else if (roll < 60) {
            record.has_started = true;
            record.tokens +=
                1 + static_cast<std::uint32_t>(this->random_below(20));
            this->step(stream_progressed{id, record.tokens});
        } else if (roll < 85) {
            this->step(stream_finished{
                id,
                std::make_shared<const base::answer>(
                    base::answer{"application/json", "text", 1, true})});
        } else if (roll < 95) {
            const auto cause = static_cast<break_cause>(this->random_below(6));
            record.has_started = true;
            this->step(stream_broken{id, record.connection, cause});
        }
        // Otherwise the stream stays silent.
    }

    void step_peer_load()
    {
        peer_load message;
        message.sender = base::slot_id("zona-4-b");
        message.incarnation = base::incarnation{9};
        message.digest.sequence = ++this->peer_sequence;
        capacity::class_demand demand;
        demand.upstream_class = base::upstream_class_id("photo");
        for (auto& waiting : demand.waiting)
            waiting = static_cast<std::uint32_t>(this->random_below(10));
        for (auto& running : demand.running)
            running = static_cast<std::uint32_t>(this->random_below(3));
        message.digest.demands.push_back(demand);
        this->step(message);
    }

    void step_random_event()
    {
        this->now += base::duration(static_cast<std::int64_t>(
            this->random_below(this->short_intervals ? 5000 : 80000)));
        const std::uint64_t roll = this->random_below(1000);
        if (roll < 3)
            return this->list_upstreams();
        if (roll < 4)
            return this->publish_config();
        if (roll < 6)
            return this->step_peer_load();
        if (roll < 8) {
            this->short_intervals = !this->short_intervals;
            return;
        }
        if (roll < 20 && !this->requests.empty()) {
            const base::request_id id = this->requests.rbegin()->first;
            this->requests.at(id).caller_left = true;
            return this->step(caller_gone{id});
        }
        if (roll < 60)
            return this->step(load_due{});
        if (roll < 100)
            return this->step(tick{});
        if (roll < 450 || this->streams.empty())
            return this->send_request();
        this->step_stream();
    }

    void step(const event& input)
    {
        std::map<base::request_id, phase> before;
        for (const auto& [id, record] : this->requests)
            if (const request* item = this->core.find(id))
                before.emplace(id, item->phase);
        this->actions.clear();
        this->core.step(input, this->now, this->actions);
        for (const action& one : this->actions)
            std::visit([this](const auto& order) { this->check(order); }, one);
        for (const auto& [id, from] : before)
            this->check_phase(id, from);
        this->check_after_step();
    }

    void check(const assign_ticket& order)
    {
        const bool is_new = this->tickets.insert(order.ticket.sequence).second;
        CHECK_MESSAGE(is_new, this->failure_context());
    }

    void check(const start_dispatch& order)
    {
        request_record& record = this->requests.at(order.request);
        // A dispatch whose connect was refused is not counted: no byte was
        // written.
        if (this->refused.contains(record.last_dispatch))
            record.dispatches -= 1;
        this->streams.erase(record.last_dispatch);
        record.last_dispatch = order.dispatch;
        record.dispatches += 1;
        if (record.spec.repetition == base::repetition::at_most_once)
            CHECK_MESSAGE(record.dispatches == 1, this->failure_context());
        // The request may be unknown if its timer dispatched it in the step in
        // which its caller left.
        CHECK_MESSAGE(
            (record.caller_left || this->core.find(order.request) != nullptr),
            this->failure_context());
        this->streams[order.dispatch] = stream{order.request, order.connection};
    }

    void check(const start_resume& order)
    {
        stream& record = this->streams.at(order.dispatch);
        record.connection = order.connection;
        record.resume_count += 1;
    }

    void check(const stop_stream& order)
    {
        if (!order.cancel)
            return;
        const request_record& record = this->requests.at(order.request);
        CHECK_MESSAGE(record.spec.repetition == base::repetition::idempotent,
                      this->failure_context());
        this->streams.erase(order.dispatch);
    }

    void check(const end_answered& order)
    {
        CHECK_MESSAGE(this->requests.at(order.request).dispatches > 0,
                      this->failure_context());
        this->end_request(order.request);
    }

    void check(const end_failed& order)
    {
        const request_record& record = this->requests.at(order.request);
        const bool handed_over =
            record.dispatches >
            (this->refused.contains(record.last_dispatch) ? 1 : 0);
        if (order.verdict.run == base::run_state::not_run)
            CHECK_MESSAGE(!handed_over, this->failure_context());
        if (!record.caller_left && admission::counts_as_shed(order.verdict))
            this->shed_specs.push_back(record.spec);
        this->end_request(order.request);
    }

    void check(const send_claim_message& order) { static_cast<void>(order); }

    void check(const send_load_digest& order) { static_cast<void>(order); }

    void end_request(base::request_id id)
    {
        CHECK_MESSAGE(!this->ended.contains(id), this->failure_context());
        this->ended.insert(id);
        this->streams.erase(this->requests.at(id).last_dispatch);
    }

    void check_phase(base::request_id id, phase from)
    {
        const request* item = this->core.find(id);
        const phase to = item == nullptr ? phase::ended : item->phase;
        if (from == to)
            return;
        // One step may make two transitions of a request.
        bool legal = is_transition_allowed(from, to);
        for (int middle = 0; middle < phase_count && !legal; ++middle)
            legal = is_transition_allowed(from, static_cast<phase>(middle)) &&
                    is_transition_allowed(static_cast<phase>(middle), to);
        CHECK_MESSAGE(legal, this->failure_context());
    }

    void check_after_step()
    {
        for (const base::request_spec& spec : this->shed_specs) {
            this->shed_count += 1;
            const auto violated_by = admission::find_invariant_violation(
                spec,
                this->core.running(),
                this->core.rooms(spec),
                admission::options{}.hard_factor);
            CHECK_MESSAGE(!violated_by.has_value(), this->failure_context());
        }
        this->shed_specs.clear();
        for (const base::request_id id : this->ended) {
            CHECK_MESSAGE(this->core.find(id) == nullptr,
                          this->failure_context());
            this->requests.erase(id);
        }
        this->ended_count += this->ended.size();
        this->ended.clear();
        CHECK_MESSAGE(this->core.in_flight() == this->requests.size(),
                      this->failure_context());
    }

    std::string failure_context() const
    {
        return "seed " + std::to_string(this->seed) + ", step " +
               std::to_string(this->steps);
    }

    // Finishes all streams until no request is left.
    void drain()
    {
        for (int turn = 0; turn < 100'000 && !this->requests.empty(); ++turn) {
            if (!this->streams.empty()) {
                const base::dispatch_id id = this->streams.begin()->first;
                this->streams.erase(id);
                this->step(stream_finished{
                    id, std::make_shared<const base::answer>()});
            } else if (this->core.next_wake()) {
                this->now = std::max(this->now, *this->core.next_wake());
                this->step(tick{});
            } else
                break;
        }
        CHECK_MESSAGE(this->requests.empty(), this->failure_context());
        CHECK_MESSAGE(this->core.running().size() == 0,
                      this->failure_context());
        CHECK_MESSAGE(this->ended_count == this->last_request,
                      this->failure_context());
    }

    struct request_record {
        base::request_spec spec;
        int dispatches = 0;
        base::dispatch_id last_dispatch;
        bool caller_left = false;
    };
    struct stream {
        base::request_id request;
        std::uint32_t connection = 0;
        std::uint32_t tokens = 0;
        int resume_count = 0;
        bool has_started = false;
    };

    std::uint64_t seed;
    std::mt19937_64 generator;
    scheduler core;
    base::instant now;
    std::uint64_t steps = 0;
    std::uint64_t last_request = 0;
    std::uint64_t peer_sequence = 0;
    std::uint64_t ended_count = 0;
    std::uint64_t shed_count = 0;
    bool short_intervals = false;
    std::vector<action> actions;
    std::map<base::request_id, request_record> requests; // in flight
    std::map<base::dispatch_id, stream> streams;
    std::set<base::dispatch_id> refused;
    std::set<std::uint64_t> tickets;
    std::set<base::request_id> ended;           // during this step
    std::vector<base::request_spec> shed_specs; // during this step
};

} // namespace greengagedrum::delivery
