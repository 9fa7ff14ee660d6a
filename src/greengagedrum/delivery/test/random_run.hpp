// A scheduler under random events, and what must hold after each of them.
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

struct random_run {
    explicit random_run(std::uint64_t seed)
        : seed(seed), generator(seed), core(options_for(seed))
    {
        this->publish();
        this->list();
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

    std::uint64_t below(std::uint64_t bound)
    {
        return this->generator() % bound;
    }

    bool chance(double part)
    {
        return std::uniform_real_distribution<double>()(this->generator) < part;
    }

    void publish()
    {
        config::snapshot snapshot;
        for (int i = 0; i < 4; ++i) {
            config::upstream_entry one;
            one.name = "engine-" + std::to_string(i);
            one.id = base::upstream_id(one.name);
            one.data_centre = base::data_centre_id("zona-4");
            one.upstream_class =
                base::upstream_class_id(i < 3 ? "photo" : "counter");
            one.models = {i == 0 ? "old" : "compliance", "crop"};
            one.max_in_flight = 2 + static_cast<std::uint32_t>(this->below(4));
            snapshot.fleet.upstreams.push_back(one);
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

    void list()
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

    // ---- One random event ----

    void arrive()
    {
        request_arrived what;
        what.request = base::request_id{++this->last_request};
        base::request_spec& work = what.spec;
        work.workspace =
            base::workspace_id(this->chance(0.2) ? "mall" : "yard");
        work.kind = base::kind_id(this->chance(0.5) ? "caption" : "review");
        work.upstream_class =
            base::upstream_class_id(this->chance(0.8) ? "photo" : "counter");
        work.model = base::model_id(this->chance(0.5) ? "compliance" : "crop");
        work.tier = base::all_tiers[this->below(base::tier_count)];
        work.repetition = this->chance(0.5) ? base::repetition::idempotent
                                            : base::repetition::at_most_once;
        work.preemptible = this->chance(0.5);
        work.prompt_tokens = 1 + static_cast<std::uint32_t>(this->below(5000));
        work.output_tokens = 1 + static_cast<std::uint32_t>(this->below(500));
        what.deadline_after =
            base::duration(static_cast<std::int64_t>(this->below(20'000'000)));
        known fresh;
        fresh.work = work;
        this->requests.emplace(what.request, fresh);
        this->step(what);
    }

    void tell_of_dispatch()
    {
        const auto chosen = std::next(
            this->streams.begin(),
            static_cast<std::ptrdiff_t>(this->below(this->streams.size())));
        const base::dispatch_id id = chosen->first;
        stream& own = chosen->second;
        const std::uint64_t dice = this->below(100);
        if (own.resumes == 0 && !own.begun && dice < 8) {
            const auto connection = own.connection;
            this->refused.insert(id);
            this->step(connect_refused{id, connection});
        } else if (dice < 60) {
            own.begun = true;
            own.tokens += 1 + static_cast<std::uint32_t>(this->below(20));
            this->step(stream_progressed{id, own.tokens});
        } else if (dice < 85) {
            this->step(stream_finished{
                id,
                std::make_shared<const base::answer>(
                    base::answer{"application/json", "text", 1, true})});
        } else if (dice < 95) {
            const auto cause = static_cast<break_cause>(this->below(6));
            own.begun = true;
            this->step(stream_broken{id, own.connection, cause});
        }
        // else: silent
    }

    void peer_speaks()
    {
        peer_load what;
        what.sender = base::slot_id("zona-4-b");
        what.incarnation = base::incarnation{9};
        what.digest.sequence = ++this->peer_sequence;
        capacity::class_demand demand;
        demand.upstream_class = base::upstream_class_id("photo");
        for (auto& waiting : demand.waiting)
            waiting = static_cast<std::uint32_t>(this->below(10));
        for (auto& running : demand.running)
            running = static_cast<std::uint32_t>(this->below(3));
        what.digest.demands.push_back(demand);
        this->step(what);
    }

    void random_event()
    {
        this->now += base::duration(
            static_cast<std::int64_t>(this->below(this->busy ? 5000 : 80000)));
        const std::uint64_t dice = this->below(1000);
        if (dice < 3)
            return this->list();
        if (dice < 4)
            return this->publish();
        if (dice < 6)
            return this->peer_speaks();
        if (dice < 8) {
            this->busy = !this->busy;
            return;
        }
        if (dice < 20 && !this->requests.empty()) {
            const base::request_id gone = this->requests.rbegin()->first;
            this->requests.at(gone).gone = true;
            return this->step(caller_gone{gone});
        }
        if (dice < 60)
            return this->step(load_due{});
        if (dice < 100)
            return this->step(tick{});
        if (dice < 450 || this->streams.empty())
            return this->arrive();
        this->tell_of_dispatch();
    }

    // ---- What must hold ----

    void step(const event& what)
    {
        std::map<base::request_id, phase> before;
        for (const auto& [id, own] : this->requests)
            if (const request* item = this->core.find(id))
                before.emplace(id, item->phase);
        this->actions.clear();
        this->core.step(what, this->now, this->actions);
        for (const action& one : this->actions)
            std::visit([this](const auto& done) { this->check(done); }, one);
        for (const auto& [id, from] : before)
            this->check_phase(id, from);
        this->check_ends();
    }

    void check(const assign_ticket& done)
    {
        const bool fresh = this->tickets.insert(done.ticket.sequence).second;
        CHECK_MESSAGE(fresh, this->where());
    }

    void check(const start_dispatch& done)
    {
        known& own = this->requests.at(done.request);
        // A dispatch whose connect was refused did not happen.
        if (this->refused.contains(own.last))
            own.dispatches -= 1;
        this->streams.erase(own.last);
        own.last = done.dispatch;
        own.dispatches += 1;
        if (own.work.repetition == base::repetition::at_most_once)
            CHECK_MESSAGE(own.dispatches == 1, this->where());
        // Dispatched by its timer, and its caller left in the same step.
        CHECK_MESSAGE((own.gone || this->core.find(done.request) != nullptr),
                      this->where());
        this->streams[done.dispatch] = stream{done.request, done.connection};
    }

    void check(const start_resume& done)
    {
        stream& own = this->streams.at(done.dispatch);
        own.connection = done.connection;
        own.resumes += 1;
    }

    void check(const stop_stream& done)
    {
        if (!done.cancel)
            return;
        const known& own = this->requests.at(done.request);
        CHECK_MESSAGE(own.work.repetition == base::repetition::idempotent,
                      this->where());
        this->streams.erase(done.dispatch);
    }

    void check(const end_answered& done)
    {
        CHECK_MESSAGE(this->requests.at(done.request).dispatches > 0,
                      this->where());
        this->end(done.request);
    }

    void check(const end_failed& done)
    {
        const known& own = this->requests.at(done.request);
        const bool handed_over =
            own.dispatches > (this->refused.contains(own.last) ? 1 : 0);
        if (done.verdict.run == base::run_state::not_run)
            CHECK_MESSAGE(!handed_over, this->where());
        if (!own.gone && admission::counts_as_shed(done.verdict))
            this->shed.push_back(own.work);
        this->end(done.request);
    }

    void check(const send_claim_message& done) { static_cast<void>(done); }

    void check(const send_load_digest& done) { static_cast<void>(done); }

    void end(base::request_id id)
    {
        CHECK_MESSAGE(!this->ended.contains(id), this->where());
        this->ended.insert(id);
        this->streams.erase(this->requests.at(id).last);
    }

    void check_phase(base::request_id id, phase from)
    {
        const request* item = this->core.find(id);
        const phase to = item == nullptr ? phase::ended : item->phase;
        if (from == to)
            return;
        // One step may take a request through two transitions.
        bool legal = is_transition_allowed(from, to);
        for (int middle = 0; middle < phase_count && !legal; ++middle)
            legal = is_transition_allowed(from, static_cast<phase>(middle)) &&
                    is_transition_allowed(static_cast<phase>(middle), to);
        CHECK_MESSAGE(legal, this->where());
    }

    void check_ends()
    {
        for (const base::request_spec& work : this->shed) {
            this->sheds += 1;
            const auto broken =
                admission::find_invariant_violation(work,
                                     this->core.running(),
                                     this->core.rooms(work),
                                     admission::options{}.hard_factor);
            CHECK_MESSAGE(!broken.has_value(), this->where());
        }
        this->shed.clear();
        for (const base::request_id id : this->ended) {
            CHECK_MESSAGE(this->core.find(id) == nullptr, this->where());
            this->requests.erase(id);
        }
        this->ended_count += this->ended.size();
        this->ended.clear();
        CHECK_MESSAGE(this->core.in_flight() == this->requests.size(),
                      this->where());
    }

    std::string where() const
    {
        return "seed " + std::to_string(this->seed) + ", step " +
               std::to_string(this->steps);
    }

    // All that is left ends, with streams that finish.
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
        CHECK_MESSAGE(this->requests.empty(), this->where());
        CHECK_MESSAGE(this->core.running().size() == 0, this->where());
        CHECK_MESSAGE(this->ended_count == this->last_request, this->where());
    }

    struct known {
        base::request_spec work;
        int dispatches = 0;
        base::dispatch_id last;
        bool gone = false;
    };
    struct stream {
        base::request_id request;
        std::uint32_t connection = 0;
        std::uint32_t tokens = 0;
        int resumes = 0;
        bool begun = false;
    };

    std::uint64_t seed;
    std::mt19937_64 generator;
    scheduler core;
    base::instant now;
    std::uint64_t steps = 0;
    std::uint64_t last_request = 0;
    std::uint64_t peer_sequence = 0;
    std::uint64_t ended_count = 0;
    std::uint64_t sheds = 0;
    bool busy = false;
    std::vector<action> actions;
    std::map<base::request_id, known> requests; // not ended
    std::map<base::dispatch_id, stream> streams;
    std::set<base::dispatch_id> refused;
    std::set<std::uint64_t> tickets;
    std::set<base::request_id> ended;     // in this step
    std::vector<base::request_spec> shed; // in this step
};

} // namespace greengagedrum::delivery
