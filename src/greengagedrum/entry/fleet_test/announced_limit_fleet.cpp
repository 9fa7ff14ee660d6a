#include <greengagedrum/entry/fleet_test/announced_limit_fleet.hpp>

#include <algorithm>
#include <string>

namespace greengagedrum::entry::fleet_test
{

namespace
{

using namespace std::chrono_literals;

const base::upstream_class_id engines("engines");
constexpr std::uint32_t slots = 8;
constexpr base::duration request_interval = 100ms; // at one entry
constexpr base::duration answer_after = 120ms;
constexpr base::duration window = 4s;
constexpr base::duration told_before = 500ms;
constexpr double settling_seconds = 3;

} // namespace

announced_limit_fleet::announced_limit_fleet(const announced_limit_plan& plan)
    : plan(plan), random_engine(plan.seed), books(plan.entries),
      fleet(plan, this->hooks())
{
    this->fleet.start();
}

virtual_fleet::hooks announced_limit_fleet::hooks()
{
    virtual_fleet::hooks out;
    out.configure = [this](node& one) { this->configure(one); };
    out.events = [this](node& one) { return this->events_of(one); };
    out.after_step = [this](node& one) {
        traffic::actions none; // no request is left in a queue
        one.state.scheduler.tick(this->fleet.time(), none);
        this->submit_request(one);
    };
    return out;
}

routing::published_upstream
announced_limit_fleet::published(std::size_t data_centre) const
{
    routing::published_upstream out;
    out.name = "upstream-" + std::to_string(data_centre);
    out.id = base::upstream_id(out.name);
    out.service = engines;
    out.slots = slots;
    out.data_centre = "centre-" + std::to_string(data_centre);
    return out;
}

void announced_limit_fleet::configure(node& one)
{
    this->books[one.number] = {};
    const std::size_t place = one.number % this->plan.data_centres;
    one.state.scheduler = traffic::scheduler(
        {0.2, 60, 10s}, {"centre-" + std::to_string(place), one.number + 1});
    for (std::size_t each = 0; each < this->plan.data_centres; ++each)
        one.state.scheduler.upstream_joined(this->published(each),
                                            this->fleet.time());
}

peer_events announced_limit_fleet::events_of(node& entry)
{
    peer_events out;
    out.peer_load_changed = [] {};
    out.items_received = [](const gossip::item_transfer&) {};
    out.delegation_started = [&entry] {
        entry.state.delegating = true;
        entry.state.scheduler.set_delegating(true);
    };
    out.delegation_ended = [&entry](std::size_t, const limit_handover*) {
        entry.state.delegating = false;
        entry.state.scheduler.set_delegating(false);
    };
    out.make_report = [] { return dispatch::member_report(); };
    out.reply_received = [](const dispatch::dispatcher_reply&) {};
    out.report_received = [this, &entry](base::slot_id member,
                                         const gossip::message& message) {
        this->books[entry.number].on_report(member,
                                            message.incarnation,
                                            message.report,
                                            message.upstream_loads);
    };
    out.member_lost = [this, &entry](base::slot_id member) {
        this->books[entry.number].remove_member(member);
    };
    out.members_awaiting_reply = [this, &entry] {
        return this->books[entry.number].members_to_answer(this->fleet.time());
    };
    out.make_reply = [this, &entry](base::slot_id member) {
        return this->books[entry.number].build_reply(member,
                                                     this->fleet.time());
    };
    return out;
}

bool announced_limit_fleet::announces() const
{
    return this->fleet.seconds() >= this->plan.announced_from &&
           this->fleet.seconds() < this->plan.announced_until;
}

void announced_limit_fleet::submit_request(node& one)
{
    const base::instant now = this->fleet.time();
    const auto phase =
        (now.time_since_epoch() + one.number * 5ms) % request_interval;
    if (phase >= 5ms || one.state.delegating)
        return;
    traffic::request_facts facts;
    facts.service = engines;
    facts.kind = base::kind_id("brief");
    facts.latency_objective = 1s;
    facts.time_left = 10s;
    const base::request_id id{this->next_request++};
    traffic::actions actions;
    one.state.scheduler.step(traffic::request_arrived{id, facts}, now, actions);
    for (const traffic::action& each : actions) {
        if (const auto* action = std::get_if<traffic::send_request>(&each))
            return this->send(one, *action);
    }
    actions.clear();
    one.state.scheduler.step(traffic::caller_left{id}, now, actions);
}

// An entry with members sends one request in four itself.
std::size_t announced_limit_fleet::choose_reader(const node& one)
{
    std::vector<std::size_t> members;
    for (std::size_t each = 0; each < this->fleet.size(); ++each) {
        const node* other = this->fleet.at(each);
        if (other != nullptr && other->state.delegating &&
            each % this->plan.data_centres ==
                one.number % this->plan.data_centres &&
            this->fleet.serving(each) != nullptr)
            members.push_back(each);
    }
    if (members.empty() || this->random_engine() % 4 == 0)
        return one.number;
    return members[this->random_engine() % members.size()];
}

void announced_limit_fleet::send(node& one, const traffic::send_request& action)
{
    const std::size_t reader = this->choose_reader(one);
    const run sent{one.number,
                   one.incarnation,
                   reader,
                   this->fleet.at(reader)->incarnation,
                   action.request,
                   action.send,
                   action.upstream,
                   this->fleet.time() + answer_after};
    this->record_send(sent);
    this->runs.push_back(sent);
}

void announced_limit_fleet::record_send(const run& sent)
{
    const base::instant now = this->fleet.time();
    const double seconds = this->fleet.seconds();
    const double settled = this->plan.announced_from + settling_seconds;
    if (seconds >= this->plan.announced_until + settling_seconds)
        this->result.later_sends += 1;
    if (seconds < settled || !this->announces())
        return;
    this->result.limited_sends += 1;
    const auto told = this->told_at.find(sent.reader_incarnation);
    if (told == this->told_at.end() || now - told->second < told_before)
        return;
    std::deque<base::instant>& recent = this->recent_sends[sent.upstream];
    recent.push_back(now);
    while (now - recent.front() >= window)
        recent.pop_front();
    this->result.most_in_window = std::max(
        this->result.most_in_window, static_cast<std::uint32_t>(recent.size()));
}

void announced_limit_fleet::answer_due_runs()
{
    while (!this->runs.empty() &&
           this->runs.front().ends_at <= this->fleet.time()) {
        const run ended = this->runs.front();
        this->runs.pop_front();
        this->answer(ended);
    }
}

void announced_limit_fleet::answer(const run& ended)
{
    const base::instant now = this->fleet.time();
    traffic::actions ignored;
    node* reader = this->fleet.serving(ended.reader);
    if (reader != nullptr && reader->incarnation == ended.reader_incarnation) {
        const double limit = this->announces() ? this->plan.per_second : 0;
        if (limit > 0)
            this->told_at.try_emplace(reader->incarnation, now);
        reader->state.scheduler.step(
            traffic::rate_limit_read{ended.upstream, limit}, now, ignored);
    }
    node* chooser = this->fleet.at(ended.entry);
    if (chooser != nullptr && chooser->incarnation == ended.incarnation)
        chooser->state.scheduler.step(
            traffic::answer_received{ended.request, ended.send}, now, ignored);
}

announced_limit_result announced_limit_fleet::simulate()
{
    while (this->fleet.seconds() < this->plan.seconds) {
        this->fleet.step();
        this->answer_due_runs();
    }
    return this->result;
}

} // namespace greengagedrum::entry::fleet_test
