#include <greengagedrum/entry/fleet_test/poison_request_fleet.hpp>

#include <algorithm>
#include <string>

namespace greengagedrum::entry::fleet_test
{

namespace
{

using namespace std::chrono_literals;

const base::upstream_class_id engines("engines");
const base::workspace_id shop("shop");
constexpr std::uint32_t slots = 5;
constexpr base::duration crash_after = 180ms;
constexpr base::duration answer_after = 300ms;
constexpr base::duration upstream_back_after = 4s;
constexpr base::duration lease = 3600ms;
// Minimum age of a process, and of a body's third crash, for a run to count as
// late.
constexpr base::duration min_age = 3s;
// Seconds from the start until roles are assigned.
constexpr double role_assignment_time = 1;
constexpr std::uint64_t shared_body = 999'999;

} // namespace

poison_request_fleet::poison_request_fleet(const poison_request_plan& plan)
    : plan(plan), random_engine(plan.seed), processes(plan.entries),
      upstreams(plan.upstreams), bodies(plan.bodies), fleet(plan, this->hooks())
{
    this->fleet.start();
    this->next_poison = this->fleet.time() + 5s;
    this->next_reset = this->next_poison;
    this->next_exit = this->next_poison;
}

virtual_fleet::hooks poison_request_fleet::hooks()
{
    virtual_fleet::hooks out;
    out.configure = [this](node& one) { this->configure(one); };
    out.events = [this](node& one) { return this->events_of(one); };
    out.after_step = [this](node& one) {
        traffic::actions actions;
        one.state.scheduler.tick(this->fleet.time(), actions);
        this->execute(one, actions);
    };
    out.before_stop = [this](node& one) {
        for (upstream& each : this->upstreams)
            std::erase_if(each.runs, [&](const run& run) {
                return run.entry == one.number;
            });
    };
    return out;
}

routing::published_upstream
poison_request_fleet::published(std::size_t number) const
{
    routing::published_upstream out;
    out.name = "upstream-" + std::to_string(number) + "-" +
               std::to_string(this->upstreams[number].incarnation);
    out.id = base::upstream_id(out.name);
    out.service = engines;
    out.slots = slots;
    out.data_centre =
        "centre-" + std::to_string(number % this->plan.data_centres);
    return out;
}

void poison_request_fleet::configure(node& one)
{
    process_state& process = this->processes[one.number];
    process = process_state();
    process.process_id = this->next_process++;
    process.started_at = this->fleet.time();
    one.state.scheduler = traffic::scheduler(
        {0.2, 60, 10s},
        {"centre-" + std::to_string(one.number % this->plan.data_centres),
         one.number + 1});
    for (std::size_t number = 0; number < this->upstreams.size(); ++number) {
        if (this->upstreams[number].alive)
            one.state.scheduler.upstream_joined(this->published(number),
                                                this->fleet.time());
    }
}

peer_events poison_request_fleet::events_of(node& entry)
{
    peer_events out;
    out.peer_load_changed = [] {};
    out.items_received = [](const gossip::item_transfer&) {};
    out.delegation_started = [&entry] { entry.state.delegating = true; };
    out.delegation_ended = [&entry](std::size_t, const limit_handover*) {
        entry.state.delegating = false;
    };
    out.make_report = [] { return dispatch::member_report(); };
    out.reply_received = [](const dispatch::dispatcher_reply&) {};
    out.report_received = [this, &entry](base::slot_id member,
                                         const gossip::message& message) {
        this->processes[entry.number].book.on_report(member,
                                                     message.incarnation,
                                                     message.report,
                                                     message.upstream_loads);
    };
    out.member_lost = [this, &entry](base::slot_id member) {
        this->processes[entry.number].book.remove_member(member);
    };
    out.members_awaiting_reply = [this, &entry] {
        return this->processes[entry.number].book.members_to_answer(
            this->fleet.time());
    };
    out.make_reply = [this, &entry](base::slot_id member) {
        return this->processes[entry.number].book.build_reply(
            member, this->fleet.time());
    };
    return out;
}

base::request_digest
poison_request_fleet::body_digest(std::uint64_t number) const
{
    return base::digest_of_request(
        "shop", "POST", "/caption", std::to_string(number));
}

void poison_request_fleet::submit_request(std::size_t at,
                                          std::optional<std::size_t> body)
{
    node* to = this->fleet.serving(at);
    if (to == nullptr)
        return;
    traffic::request_facts facts;
    facts.service = engines;
    facts.workspace = shop;
    facts.kind = base::kind_id("caption");
    facts.stream = true;
    facts.prompt_tokens = 1000;
    facts.output_tokens = 50;
    facts.latency_objective = 400ms;
    facts.event_gap_objective = 200ms;
    facts.time_left = 15s;
    const base::request_id id{this->next_request++};
    if (body) {
        this->processes[at].poison[id] = *body;
        facts.digest = this->body_digest(*body);
    } else {
        const bool use_shared_body =
            std::uniform_real_distribution<double>(0, 1)(this->random_engine) <
            this->plan.same_body_share;
        facts.digest = this->body_digest(
            use_shared_body ? shared_body : this->next_ordinary_body++);
        this->processes[at].ordinary.insert(id);
        this->result.ordinary += 1;
    }
    this->submit_event(*to, traffic::request_arrived{id, facts});
}

void poison_request_fleet::send_poison_requests()
{
    if (this->fleet.time() < this->next_poison)
        return;
    const auto jitter =
        static_cast<std::int64_t>(this->random_engine() % 200'000);
    this->next_poison = this->fleet.time() + this->plan.poison_interval -
                        100ms + std::chrono::microseconds(jitter);
    const std::size_t body = this->next_body++ % this->plan.bodies;
    for (std::size_t copy = 0; copy < this->plan.copies; ++copy)
        this->submit_request(this->random_engine() % this->fleet.size(), body);
}

void poison_request_fleet::send_ordinary_requests()
{
    constexpr double step_seconds = 0.005;
    double due = this->plan.requests * step_seconds;
    for (; due >= 1; due -= 1)
        this->submit_request(this->random_engine() % this->fleet.size(),
                             std::nullopt);
    if (std::uniform_real_distribution<double>(0, 1)(this->random_engine) < due)
        this->submit_request(this->random_engine() % this->fleet.size(),
                             std::nullopt);
}

void poison_request_fleet::submit_event(node& at, const traffic::event& event)
{
    traffic::actions actions;
    at.state.scheduler.step(event, this->fleet.time(), actions);
    this->execute(at, actions);
}

void poison_request_fleet::execute(node& at, const traffic::actions& actions)
{
    for (const traffic::action& one : actions) {
        if (const auto* send = std::get_if<traffic::send_request>(&one))
            this->send(at, *send);
        if (const auto* end = std::get_if<traffic::end_request>(&one))
            this->end(at, *end);
        if (const auto* check = std::get_if<traffic::check_upstream>(&one))
            this->submit_event(
                at,
                traffic::upstream_checked{check->upstream,
                                          this->is_alive(check->upstream)});
        if (const auto* answer = std::get_if<traffic::deliver_answer>(&one)) {
            this->result.answered += static_cast<std::uint32_t>(
                this->processes[at.number].ordinary.erase(answer->request));
        }
    }
}

bool poison_request_fleet::is_alive(base::upstream_id id) const
{
    for (std::size_t number = 0; number < this->upstreams.size(); ++number) {
        if (this->published(number).id == id)
            return this->upstreams[number].alive;
    }
    return false;
}

void poison_request_fleet::end(node& at, const traffic::end_request& action)
{
    process_state& process = this->processes[at.number];
    process.poison.erase(action.request);
    if (process.ordinary.erase(action.request) > 0 &&
        action.verdict.why == base::reason::quarantined)
        this->result.refused_as_quarantined += 1;
}

void poison_request_fleet::send(node& at, const traffic::send_request& action)
{
    process_state& process = this->processes[at.number];
    const auto poison = process.poison.find(action.request);
    const bool crashes = poison != process.poison.end() && this->plan.crashes;
    for (std::size_t number = 0; number < this->upstreams.size(); ++number) {
        upstream& to = this->upstreams[number];
        if (this->published(number).id != action.upstream || !to.alive)
            continue;
        run new_run{
            at.number, process.process_id, action.request, action.send, {}, {}};
        new_run.ends_at = this->fleet.time() + answer_after;
        if (crashes) {
            new_run.body = poison->second;
            new_run.ends_at = this->fleet.time() + crash_after;
            this->result.poison_runs += 1;
            body_record& record = this->bodies[poison->second];
            const bool informed =
                this->fleet.time() - process.started_at >= min_age;
            if (informed && record.crashes >= 3 &&
                this->fleet.time() - record.third_at >= min_age)
                record.late_runs += 1;
        }
        to.runs.push_back(new_run);
        return;
    }
    this->submit_event(at,
                       traffic::connect_failed{action.request, action.send});
}

void poison_request_fleet::report_broken_run(const run& one)
{
    node* at = this->fleet.at(one.entry);
    if (at != nullptr &&
        this->processes[one.entry].process_id == one.process_id)
        this->submit_event(*at,
                           traffic::answer_interrupted{one.request, one.send});
}

void poison_request_fleet::exit_upstream(upstream& one)
{
    one.alive = false;
    one.back_at = this->fleet.time() + upstream_back_after;
    std::vector<run> broken;
    broken.swap(one.runs);
    for (const run& each : broken)
        this->report_broken_run(each);
}

void poison_request_fleet::run_upstreams()
{
    const base::instant now = this->fleet.time();
    for (std::size_t number = 0; number < this->upstreams.size(); ++number) {
        upstream& one = this->upstreams[number];
        const auto for_all_schedulers = [this](const auto& apply) {
            for (std::size_t at = 0; at < this->fleet.size(); ++at) {
                if (node* to = this->fleet.at(at))
                    apply(to->state.scheduler);
            }
        };
        if (!one.alive && now >= one.back_at - (upstream_back_after - lease)) {
            const base::upstream_id gone = this->published(number).id;
            for_all_schedulers([&](traffic::scheduler& scheduler) {
                scheduler.upstream_left(gone);
            });
        }
        if (!one.alive && now >= one.back_at) {
            one.alive = true;
            one.incarnation += 1;
            const auto restarted = this->published(number);
            for_all_schedulers([&](traffic::scheduler& scheduler) {
                scheduler.upstream_joined(restarted, now);
            });
        }
        const auto done = [&](const run& run) { return run.ends_at <= now; };
        while (one.alive) {
            const auto found =
                std::find_if(one.runs.begin(), one.runs.end(), done);
            if (found == one.runs.end())
                break;
            const run ended = *found;
            if (ended.body) {
                body_record& record = this->bodies[*ended.body];
                record.crashes += 1;
                if (record.crashes == 3)
                    record.third_at = now;
                this->result.crashed += 1;
                this->exit_upstream(one);
                break;
            }
            one.runs.erase(found);
            node* at = this->fleet.at(ended.entry);
            if (at != nullptr &&
                this->processes[ended.entry].process_id == ended.process_id)
                this->submit_event(
                    *at, traffic::answer_received{ended.request, ended.send});
        }
    }
}

void poison_request_fleet::reset_connections()
{
    const base::instant now = this->fleet.time();
    if (this->plan.connection_reset_interval.count() > 0 &&
        now >= this->next_reset) {
        this->next_reset = now + this->plan.connection_reset_interval;
        const std::size_t entry = this->random_engine() % this->fleet.size();
        std::vector<run> broken;
        for (upstream& one : this->upstreams) {
            const auto reset = std::stable_partition(
                one.runs.begin(), one.runs.end(), [&](const run& each) {
                    return each.entry != entry;
                });
            broken.insert(broken.end(), reset, one.runs.end());
            one.runs.erase(reset, one.runs.end());
        }
        for (const run& one : broken)
            this->report_broken_run(one);
    }
    if (this->plan.upstream_exit_interval.count() > 0 &&
        now >= this->next_exit) {
        this->next_exit = now + this->plan.upstream_exit_interval;
        upstream& one =
            this->upstreams[this->random_engine() % this->upstreams.size()];
        if (one.alive)
            this->exit_upstream(one);
    }
}

poison_request_result poison_request_fleet::simulate()
{
    while (this->fleet.seconds() < this->plan.seconds) {
        this->fleet.step();
        if (this->fleet.seconds() < role_assignment_time)
            continue;
        this->run_upstreams();
        this->reset_connections();
        this->send_ordinary_requests();
        this->send_poison_requests();
    }
    for (std::size_t at = 0; at < this->fleet.size(); ++at) {
        if (const node* one = this->fleet.at(at))
            this->result.records =
                std::max(this->result.records,
                         one->state.scheduler.crash_suspects().size());
    }
    for (const body_record& one : this->bodies)
        this->result.late_runs =
            std::max(this->result.late_runs, one.late_runs);
    this->result.bytes_per_second = static_cast<std::uint64_t>(
        static_cast<double>(this->fleet.busiest_bytes()) / this->plan.seconds);
    return this->result;
}

} // namespace greengagedrum::entry::fleet_test
