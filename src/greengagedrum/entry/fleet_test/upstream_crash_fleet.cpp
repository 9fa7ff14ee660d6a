#include <greengagedrum/entry/fleet_test/upstream_crash_fleet.hpp>

#include <algorithm>
#include <string>
#include <utility>

namespace greengagedrum::entry::fleet_test
{

namespace
{

using namespace std::chrono_literals;

const base::upstream_class_id engines("engines");
constexpr std::uint32_t slots = 5;
constexpr base::duration upstream_back_after = 4s;
constexpr base::duration lease = 3600ms;
// Seconds from the start until roles are assigned.
constexpr double role_assignment_time = 1;

} // namespace

upstream_crash_fleet::upstream_crash_fleet(const crash_fault_plan& plan,
                                           hooks owner)
    : plan(plan), owner(std::move(owner)), random_engine(plan.seed),
      processes(plan.entries), upstreams(plan.upstreams),
      fleet(plan, this->fleet_hooks())
{
    for (std::size_t number = 0; number < this->upstreams.size(); ++number)
        this->upstreams[number].id = this->published(number).id;
    this->fleet.start();
    this->next_reset = this->fleet.time() + 5s;
    this->next_exit = this->next_reset;
}

virtual_fleet::hooks upstream_crash_fleet::fleet_hooks()
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
upstream_crash_fleet::published(std::size_t number) const
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

void upstream_crash_fleet::configure(node& one)
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

peer_events upstream_crash_fleet::events_of(node& entry)
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

bool upstream_crash_fleet::is_informed(std::size_t entry,
                                       base::duration time) const
{
    const double rejoined = this->plan.cut_from + this->plan.cut_for +
                            std::chrono::duration<double>(time).count();
    const bool cut_off = this->fleet.is_behind_partition(entry) &&
                         this->seconds() >= this->plan.cut_from &&
                         this->seconds() < rejoined;
    return this->age(entry) >= time && !cut_off;
}

traffic::request_facts upstream_crash_fleet::stream_request()
{
    traffic::request_facts facts;
    facts.service = engines;
    facts.stream = true;
    facts.prompt_tokens = 1000;
    facts.output_tokens = 50;
    facts.latency_objective = 400ms;
    facts.event_gap_objective = 200ms;
    facts.time_left = 15s;
    return facts;
}

void upstream_crash_fleet::submit(std::size_t entry,
                                  base::request_id id,
                                  const traffic::request_facts& facts)
{
    if (node* to = this->fleet.at(entry))
        this->submit_event(*to, traffic::request_arrived{id, facts});
}

void upstream_crash_fleet::submit_event(node& at, const traffic::event& event)
{
    traffic::actions actions;
    at.state.scheduler.step(event, this->fleet.time(), actions);
    this->execute(at, actions);
}

void upstream_crash_fleet::execute(node& at, const traffic::actions& actions)
{
    for (const traffic::action& one : actions) {
        if (const auto* send = std::get_if<traffic::send_request>(&one))
            this->send(at, *send);
        if (const auto* end = std::get_if<traffic::end_request>(&one))
            this->owner.ended(end->request, end->verdict);
        if (const auto* check = std::get_if<traffic::check_upstream>(&one))
            this->submit_event(
                at,
                traffic::upstream_checked{check->upstream,
                                          this->is_alive(check->upstream)});
        if (const auto* answer = std::get_if<traffic::deliver_answer>(&one))
            this->owner.answered(answer->request);
    }
}

bool upstream_crash_fleet::is_alive(base::upstream_id id) const
{
    return std::any_of(
        this->upstreams.begin(), this->upstreams.end(), [&](const auto& one) {
            return one.id == id && one.alive;
        });
}

void upstream_crash_fleet::send(node& at, const traffic::send_request& action)
{
    for (upstream& to : this->upstreams) {
        if (to.id != action.upstream || !to.alive)
            continue;
        run started;
        started.entry = at.number;
        started.process_id = this->processes[at.number].process_id;
        started.request = action.request;
        started.send = action.send;
        this->owner.started(started);
        to.runs.push_back(started);
        return;
    }
    this->submit_event(at,
                       traffic::connect_failed{action.request, action.send});
}

void upstream_crash_fleet::report(const run& one, const traffic::event& event)
{
    node* at = this->fleet.at(one.entry);
    if (at != nullptr &&
        this->processes[one.entry].process_id == one.process_id)
        this->submit_event(*at, event);
}

void upstream_crash_fleet::exit_upstream(upstream& one)
{
    one.alive = false;
    one.back_at = this->fleet.time() + upstream_back_after;
    const std::vector<run> broken = std::exchange(one.runs, {});
    for (const run& each : broken) {
        this->owner.interrupted(each);
        this->report(each,
                     traffic::answer_interrupted{each.request, each.send});
    }
}

void upstream_crash_fleet::run_upstreams()
{
    for (std::size_t number = 0; number < this->upstreams.size(); ++number) {
        this->restart_if_due(number);
        this->advance_runs(this->upstreams[number]);
    }
}

void upstream_crash_fleet::restart_if_due(std::size_t number)
{
    const base::instant now = this->fleet.time();
    upstream& one = this->upstreams[number];
    if (one.alive || now < one.back_at - (upstream_back_after - lease))
        return;
    const auto for_all_schedulers = [this](const auto& apply) {
        for (std::size_t at = 0; at < this->fleet.size(); ++at) {
            if (node* to = this->fleet.at(at))
                apply(to->state.scheduler);
        }
    };
    for_all_schedulers([&](traffic::scheduler& scheduler) {
        scheduler.upstream_left(one.id);
    });
    if (now < one.back_at)
        return;
    one.alive = true;
    one.incarnation += 1;
    const auto restarted = this->published(number);
    one.id = restarted.id;
    for_all_schedulers([&](traffic::scheduler& scheduler) {
        scheduler.upstream_joined(restarted, now);
    });
}

void upstream_crash_fleet::advance_runs(upstream& one)
{
    const base::instant now = this->fleet.time();
    const auto is_due = [&](const run& run) {
        return run.ends_at <= now || run.next_event_at <= now;
    };
    while (one.alive) {
        const auto found =
            std::find_if(one.runs.begin(), one.runs.end(), is_due);
        if (found == one.runs.end())
            return;
        if (found->ends_at > now) {
            found->events += 1;
            found->next_event_at += found->events == 1 ? 150ms : 100ms;
            const run advanced = *found;
            this->report(advanced,
                         traffic::events_received{
                             advanced.request, advanced.send, advanced.events});
            continue;
        }
        const run ended = *found;
        if (ended.crashes) {
            this->owner.crashed(ended);
            this->exit_upstream(one);
            return;
        }
        one.runs.erase(found);
        this->report(ended,
                     traffic::answer_received{ended.request, ended.send});
    }
}

void upstream_crash_fleet::reset_connections()
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
            this->report(one,
                         traffic::answer_interrupted{one.request, one.send});
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

bool upstream_crash_fleet::step()
{
    this->fleet.step();
    if (this->fleet.seconds() < role_assignment_time)
        return false;
    this->run_upstreams();
    this->reset_connections();
    return true;
}

std::size_t upstream_crash_fleet::most_records()
{
    std::size_t most = 0;
    for (std::size_t at = 0; at < this->fleet.size(); ++at) {
        if (const node* one = this->fleet.at(at))
            most = std::max(most, one->state.scheduler.crash_suspects().size());
    }
    return most;
}

std::uint64_t upstream_crash_fleet::busiest_bytes_per_second() const
{
    return static_cast<std::uint64_t>(
        static_cast<double>(this->fleet.busiest_bytes()) / this->plan.seconds);
}

} // namespace greengagedrum::entry::fleet_test
