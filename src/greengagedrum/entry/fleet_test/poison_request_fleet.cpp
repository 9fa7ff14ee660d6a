#include <greengagedrum/entry/fleet_test/poison_request_fleet.hpp>

#include <algorithm>
#include <string>

namespace greengagedrum::entry::fleet_test
{

namespace
{

using namespace std::chrono_literals;

const base::class_id engines("engines");
const base::workspace_id shop("shop");
constexpr std::uint32_t slots = 5;
constexpr base::duration crash_after = 180ms;
constexpr base::duration answer_after = 300ms;
constexpr base::duration upstream_back_after = 4s;
constexpr base::duration lease = 3600ms;
constexpr base::duration stable_after =
    3s; // age from which a process or a third crash counts
constexpr double roles_found =
    1; // seconds from the start until roles are assigned
constexpr std::uint64_t hot_body = 999'999;

} // namespace

poison_request_fleet::poison_request_fleet(const poison_request_plan& plan)
    : plan(plan), dice(plan.seed), works(plan.entries),
      upstreams(plan.upstreams), bodies(plan.bodies), fleet(plan, this->hooks())
{
    this->fleet.start();
    this->next_copies = this->fleet.time() + 5s;
    this->next_reset = this->next_copies;
    this->next_death = this->next_copies;
}

virtual_fleet::hooks poison_request_fleet::hooks()
{
    virtual_fleet::hooks out;
    out.configure = [this](node& one) { this->configure(one); };
    out.events = [this](node& one) { return this->events_of(one); };
    out.stepped = [this](node& one) {
        traffic::actions orders;
        one.state.scheduler.tick(this->fleet.time(), orders);
        this->carry_out(one, orders);
    };
    out.ends = [this](node& one) {
        for (upstream& each : this->upstreams)
            std::erase_if(each.runs, [&](const run& its) {
                return its.entry == one.number;
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
    work& own = this->works[one.number];
    own = work();
    own.process = this->next_process++;
    own.began = this->fleet.time();
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

peer_events poison_request_fleet::events_of(node& of)
{
    peer_events out;
    out.load_changed = [] {};
    out.items = [](const gossip::item_transfer&) {};
    out.delegate = [&of] { of.state.delegating = true; };
    out.place_alone = [&of](std::size_t, const limit_handover*) {
        of.state.delegating = false;
    };
    out.report = [] { return dispatch::member_report(); };
    out.replied = [](const dispatch::dispatcher_reply&) {};
    out.member_reported = [this, &of](base::slot_id member,
                                      const gossip::message& told) {
        this->works[of.number].book.report(
            member, told.life, told.report, told.uses);
    };
    out.member_lost = [this, &of](base::slot_id member) {
        this->works[of.number].book.lost(member);
    };
    out.members_unanswered = [this, &of] {
        return this->works[of.number].book.unanswered(this->fleet.time());
    };
    out.reply = [this, &of](base::slot_id member) {
        return this->works[of.number].book.reply(member, this->fleet.time());
    };
    return out;
}

base::request_digest
poison_request_fleet::digest_of_body(std::uint64_t number) const
{
    return base::digest_of_request(
        "shop", "POST", "/caption", std::to_string(number));
}

void poison_request_fleet::arrive(std::size_t at,
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
    facts.objective = 400ms;
    facts.gap_objective = 200ms;
    facts.time_left = 15s;
    const base::request_id id{this->next_request++};
    if (body) {
        this->works[at].deadly[id] = *body;
        facts.digest = this->digest_of_body(*body);
    } else {
        const bool hot = std::uniform_real_distribution<double>(0, 1)(
                             this->dice) < this->plan.hot_share;
        facts.digest =
            this->digest_of_body(hot ? hot_body : this->next_innocent++);
        this->works[at].innocent.insert(id);
        this->result.innocent += 1;
    }
    this->tell(*to, traffic::request_arrived{id, facts});
}

void poison_request_fleet::ask_deadly()
{
    if (this->fleet.time() < this->next_copies)
        return;
    const auto jitter = static_cast<std::int64_t>(this->dice() % 200'000);
    this->next_copies = this->fleet.time() + this->plan.crash_gap - 100ms +
                        std::chrono::microseconds(jitter);
    const std::size_t body = this->next_body++ % this->plan.bodies;
    for (std::size_t copy = 0; copy < this->plan.copies; ++copy)
        this->arrive(this->dice() % this->fleet.size(), body);
}

void poison_request_fleet::ask_innocent()
{
    constexpr double step_seconds = 0.005;
    double due = this->plan.requests * step_seconds;
    for (; due >= 1; due -= 1)
        this->arrive(this->dice() % this->fleet.size(), std::nullopt);
    if (std::uniform_real_distribution<double>(0, 1)(this->dice) < due)
        this->arrive(this->dice() % this->fleet.size(), std::nullopt);
}

void poison_request_fleet::tell(node& at, const traffic::event& what)
{
    traffic::actions orders;
    at.state.scheduler.step(what, this->fleet.time(), orders);
    this->carry_out(at, orders);
}

void poison_request_fleet::carry_out(node& at, const traffic::actions& orders)
{
    for (const traffic::action& one : orders) {
        if (const auto* send = std::get_if<traffic::send_request>(&one))
            this->send(at, *send);
        if (const auto* end = std::get_if<traffic::end_request>(&one))
            this->end(at, *end);
        if (const auto* check = std::get_if<traffic::check_upstream>(&one))
            this->tell(at,
                       traffic::upstream_checked{
                           check->upstream, this->is_alive(check->upstream)});
        if (const auto* answer = std::get_if<traffic::deliver_answer>(&one)) {
            this->result.answered += static_cast<std::uint32_t>(
                this->works[at.number].innocent.erase(answer->request));
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

void poison_request_fleet::end(node& at, const traffic::end_request& order)
{
    work& own = this->works[at.number];
    own.deadly.erase(order.request);
    if (own.innocent.erase(order.request) > 0 &&
        order.verdict.why == base::reason::quarantined)
        this->result.barred += 1;
}

void poison_request_fleet::send(node& at, const traffic::send_request& order)
{
    work& own = this->works[at.number];
    const auto deadly = own.deadly.find(order.request);
    const bool crashes = deadly != own.deadly.end() && this->plan.crashes;
    for (std::size_t number = 0; number < this->upstreams.size(); ++number) {
        upstream& to = this->upstreams[number];
        if (this->published(number).id != order.upstream || !to.alive)
            continue;
        run fresh{at.number, own.process, order.request, order.send, {}, {}};
        fresh.ends_at = this->fleet.time() + answer_after;
        if (crashes) {
            fresh.body = deadly->second;
            fresh.ends_at = this->fleet.time() + crash_after;
            this->result.reached += 1;
            body_record& record = this->bodies[deadly->second];
            const bool in_touch =
                this->fleet.time() - own.began >= stable_after;
            if (in_touch && record.crashes >= 3 &&
                this->fleet.time() - record.third_at >= stable_after)
                record.late += 1;
        }
        to.runs.push_back(fresh);
        return;
    }
    this->tell(at, traffic::not_sent{order.request, order.send});
}

void poison_request_fleet::break_run(const run& one)
{
    node* at = this->fleet.at(one.entry);
    if (at != nullptr && this->works[one.entry].process == one.process)
        this->tell(*at, traffic::broken{one.request, one.send});
}

void poison_request_fleet::end_upstream(upstream& one)
{
    one.alive = false;
    one.back_at = this->fleet.time() + upstream_back_after;
    std::vector<run> broken;
    broken.swap(one.runs);
    for (const run& each : broken)
        this->break_run(each);
}

void poison_request_fleet::run_upstreams()
{
    const base::instant now = this->fleet.time();
    for (std::size_t number = 0; number < this->upstreams.size(); ++number) {
        upstream& one = this->upstreams[number];
        const auto tell_all = [this](const auto& what) {
            for (std::size_t at = 0; at < this->fleet.size(); ++at) {
                if (node* to = this->fleet.at(at))
                    what(to->state.scheduler);
            }
        };
        if (!one.alive && now >= one.back_at - (upstream_back_after - lease)) {
            const base::upstream_id gone = this->published(number).id;
            tell_all([&](traffic::scheduler& of) { of.upstream_left(gone); });
        }
        if (!one.alive && now >= one.back_at) {
            one.alive = true;
            one.incarnation += 1;
            const auto fresh = this->published(number);
            tell_all([&](traffic::scheduler& of) {
                of.upstream_joined(fresh, now);
            });
        }
        const auto done = [&](const run& its) { return its.ends_at <= now; };
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
                this->end_upstream(one);
                break;
            }
            one.runs.erase(found);
            node* at = this->fleet.at(ended.entry);
            if (at != nullptr &&
                this->works[ended.entry].process == ended.process)
                this->tell(*at, traffic::answered{ended.request, ended.send});
        }
    }
}

void poison_request_fleet::reset_connections()
{
    const base::instant now = this->fleet.time();
    if (this->plan.reset_gap.count() > 0 && now >= this->next_reset) {
        this->next_reset = now + this->plan.reset_gap;
        const std::size_t entry = this->dice() % this->fleet.size();
        std::vector<run> broken;
        for (upstream& one : this->upstreams) {
            const auto its = std::stable_partition(
                one.runs.begin(), one.runs.end(), [&](const run& each) {
                    return each.entry != entry;
                });
            broken.insert(broken.end(), its, one.runs.end());
            one.runs.erase(its, one.runs.end());
        }
        for (const run& one : broken)
            this->break_run(one);
    }
    if (this->plan.death_gap.count() > 0 && now >= this->next_death) {
        this->next_death = now + this->plan.death_gap;
        upstream& one = this->upstreams[this->dice() % this->upstreams.size()];
        if (one.alive)
            this->end_upstream(one);
    }
}

poison_request_result poison_request_fleet::simulate()
{
    while (this->fleet.seconds() < this->plan.seconds) {
        this->fleet.step();
        if (this->fleet.seconds() < roles_found)
            continue;
        this->run_upstreams();
        this->reset_connections();
        this->ask_innocent();
        this->ask_deadly();
    }
    for (std::size_t at = 0; at < this->fleet.size(); ++at) {
        if (const node* one = this->fleet.at(at))
            this->result.records =
                std::max(this->result.records,
                         one->state.scheduler.crash_suspects().size());
    }
    for (const body_record& one : this->bodies)
        this->result.late = std::max(this->result.late, one.late);
    this->result.bytes = static_cast<std::uint64_t>(
        static_cast<double>(this->fleet.busiest_bytes()) / this->plan.seconds);
    return this->result;
}

} // namespace greengagedrum::entry::fleet_test
