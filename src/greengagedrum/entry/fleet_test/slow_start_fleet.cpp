#include <greengagedrum/entry/fleet_test/slow_start_fleet.hpp>

#include <algorithm>
#include <string>

namespace greengagedrum::entry::fleet_test
{

namespace
{

using namespace std::chrono_literals;

const base::upstream_class_id engines("engines");
constexpr std::uint32_t slots = 50;
constexpr base::duration request_interval =
    50ms; // Interval between requests at one entry.
constexpr base::duration window = 1s;

} // namespace

slow_start_fleet::slow_start_fleet(const slow_start_plan& plan)
    : plan(plan), books(plan.entries), recent_sends(plan.data_centres),
      fleet(plan, this->hooks())
{
    this->fleet.start();
}

virtual_fleet::hooks slow_start_fleet::hooks()
{
    virtual_fleet::hooks out;
    out.configure = [this](node& one) { this->configure(one); };
    out.events = [this](node& one) { return this->events_of(one); };
    out.after_step = [this](node& one) { this->submit_request(one); };
    return out;
}

routing::published_upstream
slow_start_fleet::published(std::size_t data_centre) const
{
    routing::published_upstream out;
    out.name = "upstream-" + std::to_string(data_centre);
    out.id = base::upstream_id(out.name);
    out.service = engines;
    out.slots = slots;
    out.data_centre = "centre-" + std::to_string(data_centre);
    out.warmup = 1h;
    return out;
}

void slow_start_fleet::configure(node& one)
{
    this->books[one.number] = {};
    const std::size_t place = one.number % this->plan.data_centres;
    one.state.scheduler = traffic::scheduler(
        {0.2, 60, 10s}, {"centre-" + std::to_string(place), one.number + 1});
    one.state.scheduler.set_slow_start_rate(engines, this->plan.sends);
    for (std::size_t each = 0; each < this->plan.data_centres; ++each)
        one.state.scheduler.upstream_joined(this->published(each),
                                            this->fleet.time());
}

peer_events slow_start_fleet::events_of(node& entry)
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

void slow_start_fleet::submit_request(node& one)
{
    const base::instant now = this->fleet.time();
    const auto phase =
        (now.time_since_epoch() + one.number * 5ms) % request_interval;
    if (phase >= 5ms)
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
            this->record_send(action->upstream);
    }
    actions.clear();
    one.state.scheduler.step(traffic::caller_left{id}, now, actions);
}

void slow_start_fleet::record_send(base::upstream_id upstream)
{
    const base::instant now = this->fleet.time();
    for (std::size_t each = 0; each < this->recent_sends.size(); ++each) {
        if (this->published(each).id != upstream)
            continue;
        std::deque<base::instant>& sent = this->recent_sends[each];
        sent.push_back(now);
        while (now - sent.front() >= window)
            sent.pop_front();
        this->result.sends += 1;
        this->result.max_per_second =
            std::max(this->result.max_per_second,
                     static_cast<std::uint32_t>(sent.size()));
    }
}

slow_start_result slow_start_fleet::simulate()
{
    while (this->fleet.seconds() < this->plan.seconds)
        this->fleet.step();
    return this->result;
}

} // namespace greengagedrum::entry::fleet_test
