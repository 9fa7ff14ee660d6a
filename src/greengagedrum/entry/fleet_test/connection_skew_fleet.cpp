#include <greengagedrum/entry/fleet_test/connection_skew_fleet.hpp>

#include <algorithm>
#include <string>

namespace greengagedrum::entry::fleet_test
{

namespace
{

using namespace std::chrono_literals;

constexpr double skewed_share = 0.9;
// Seconds from the start. Requests are counted by their first attempt, before
// the skew and from the end of the stability window on.
constexpr double requests_from = 1.5;
constexpr double before_from = 3;
constexpr double skew_from = 5.5;
constexpr double stable_from = 9.5;
constexpr double skew_until = 13.5;

constexpr base::duration first_event_after = 120ms;
constexpr base::duration event_interval = 200ms;
constexpr base::duration shortest_run = 300ms;
constexpr base::duration longest_run = 900ms;
constexpr base::duration latency_objective = 500ms;
constexpr base::duration time_left = 10s;
constexpr base::duration limit_window = 4s;

} // namespace

connection_skew_fleet::connection_skew_fleet(const connection_skew_plan& plan)
    : plan(plan), random_engine(plan.seed), processes(plan.entries),
      running(plan.upstreams), recent_sends(plan.upstreams),
      fleet(plan, this->hooks())
{
    for (std::size_t number = 0; number < plan.upstreams; ++number)
        this->upstream_numbers[this->published(number).id] = number;
    this->fleet.start();
    this->favoured = this->choose_favoured();
}

// The first entry of each data centre is its dispatcher.
std::size_t connection_skew_fleet::choose_favoured()
{
    if (this->plan.favours_dispatcher)
        return 0;
    std::size_t chosen = 0;
    while (chosen < this->plan.data_centres || !this->is_affected(chosen))
        chosen = this->random_engine() % this->plan.entries;
    return chosen;
}

double connection_skew_fleet::draw()
{
    return std::uniform_real_distribution<double>(0, 1)(this->random_engine);
}

double connection_skew_fleet::requests_per_second() const
{
    const double mean_run =
        std::chrono::duration<double>(shortest_run + longest_run).count() / 2;
    const double of_one = this->plan.limit_per_second > 0
                              ? this->plan.limit_per_second
                              : slots_of_upstream / mean_run;
    return this->plan.load * of_one * static_cast<double>(this->plan.upstreams);
}

bool connection_skew_fleet::is_affected(std::size_t entry) const
{
    const std::size_t data_centre = entry % this->plan.data_centres;
    return this->plan.whole_region ? data_centre % this->plan.regions == 0
                                   : data_centre == 0;
}

bool connection_skew_fleet::is_skewed() const
{
    return this->fleet.seconds() >= skew_from &&
           this->fleet.seconds() < skew_until;
}

std::size_t connection_skew_fleet::next_serving(std::size_t from,
                                                bool affected_only)
{
    for (std::size_t step = 0; step < this->plan.entries; ++step) {
        const std::size_t one = (from + step) % this->plan.entries;
        if (this->fleet.serving(one) != nullptr &&
            (!affected_only || this->is_affected(one)))
            return one;
    }
    return affected_only ? this->next_serving(from, false) : from;
}

std::size_t connection_skew_fleet::choose_entry(std::size_t home)
{
    const bool affected = this->is_affected(home);
    if (!affected || !this->is_skewed() || this->draw() >= skewed_share)
        return this->next_serving(home, affected);
    this->favoured = this->next_serving(this->favoured, true);
    return this->favoured;
}

void connection_skew_fleet::generate_requests()
{
    constexpr double step_seconds = 0.005;
    std::poisson_distribution<std::uint32_t> arrivals(
        this->requests_per_second() * step_seconds);
    for (std::uint32_t due = arrivals(this->random_engine); due > 0; --due) {
        const std::size_t home = this->random_engine() % this->plan.entries;
        caller from;
        from.arrived = this->fleet.time();
        if (this->plan.services > 1)
            from.service =
                service_name(this->random_engine() % this->plan.services);
        if (this->is_affected(home))
            from.counted_in = this->share_now();
        if (from.counted_in != nullptr)
            from.counted_in->read += 1;
        this->submit(this->choose_entry(home), from);
    }
}

void connection_skew_fleet::send_retries()
{
    while (!this->retries.empty() &&
           this->retries.begin()->first <= this->fleet.time()) {
        const retry one = this->retries.begin()->second;
        this->retries.erase(this->retries.begin());
        std::size_t to = this->random_engine() % this->plan.entries;
        if (to == one.refused_by)
            to = (to + 1) % this->plan.entries;
        this->submit(this->next_serving(to, false), one.from);
    }
}

void connection_skew_fleet::submit(std::size_t entry, const caller& from)
{
    node* to = this->fleet.at(entry);
    if (to == nullptr)
        return;
    const base::instant now = this->fleet.time();
    std::deque<base::instant>& read = this->processes[entry].recently_read;
    read.push_back(now);
    while (now - read.front() >= 1s)
        read.pop_front();
    this->result.most_per_second = std::max(
        this->result.most_per_second, static_cast<std::uint32_t>(read.size()));
    traffic::request_facts facts;
    facts.service = from.service;
    facts.kind = base::kind_id("chat");
    facts.stream = true;
    facts.prompt_tokens = 200;
    facts.output_tokens = 20;
    facts.latency_objective = latency_objective;
    facts.time_left = time_left - (now - from.arrived);
    const base::request_id id{this->processes[entry].next_request++};
    this->callers[this->key_of(*to, id)] = from;
    this->submit_event(*to, traffic::request_arrived{id, facts});
}

// Null while requests are not counted.
served_share* connection_skew_fleet::share_now()
{
    const double now = this->fleet.seconds();
    if (now >= before_from && now < skew_from)
        return &this->result.before;
    if (now >= stable_from && now < skew_until)
        return &this->result.during;
    return nullptr;
}

void connection_skew_fleet::report(const run& one, const traffic::event& event)
{
    node* at = this->fleet.at(one.entry);
    if (at != nullptr &&
        this->processes[one.entry].process_id == one.process_id)
        this->submit_event(*at, event);
}

// Before requests are counted, the entries still learn of the limits.
void connection_skew_fleet::record_send(std::size_t upstream)
{
    if (this->fleet.seconds() < before_from)
        return;
    const base::instant now = this->fleet.time();
    std::deque<base::instant>& sent = this->recent_sends[upstream];
    sent.push_back(now);
    while (now - sent.front() >= limit_window)
        sent.pop_front();
    this->result.most_in_window = std::max(
        this->result.most_in_window, static_cast<std::uint32_t>(sent.size()));
}

// Events may start or cancel runs at any upstream, so due runs are copied.
void connection_skew_fleet::advance_upstreams()
{
    for (std::size_t number = 0; number < this->running.size(); ++number) {
        std::vector<run>& all = this->running[number];
        for (std::size_t place = 0;
             place < std::min<std::size_t>(slots_of_upstream, all.size());
             ++place) {
            if (all[place].started)
                continue;
            const auto length = static_cast<std::int64_t>(
                this->draw() *
                static_cast<double>((longest_run - shortest_run).count()));
            all[place].started = true;
            all[place].next_event_at = this->fleet.time() + first_event_after;
            all[place].ends_at =
                this->fleet.time() + shortest_run + base::duration(length);
        }
        std::vector<run> due;
        for (run& one : all) {
            if (!one.started ||
                std::min(one.next_event_at, one.ends_at) > this->fleet.time())
                continue;
            one.events += 1;
            one.next_event_at += event_interval;
            due.push_back(one);
        }
        std::erase_if(all, [this](const run& one) {
            return one.started && one.ends_at <= this->fleet.time();
        });
        for (run& one : due)
            this->advance(number, one);
    }
}

void connection_skew_fleet::advance(std::size_t number, run& one)
{
    const bool ended = one.ends_at <= this->fleet.time();
    if (one.events == 1) {
        const auto found = this->callers.find({one.process_id, one.request});
        served_share* share =
            found == this->callers.end() ? nullptr : found->second.counted_in;
        if (share != nullptr &&
            this->fleet.time() - found->second.arrived <= latency_objective)
            share->in_time += 1;
        if (this->plan.limit_per_second > 0)
            this->report(one,
                         traffic::rate_limit_read{this->published(number).id,
                                                  this->plan.limit_per_second});
    }
    if (ended)
        this->report(one, traffic::answer_received{one.request, one.send});
    else
        this->report(
            one, traffic::events_received{one.request, one.send, one.events});
}

void connection_skew_fleet::inject_faults()
{
    if (!this->favoured_left &&
        this->fleet.seconds() >= this->plan.favoured_leaves_at) {
        this->favoured_left = true;
        this->fleet.begin_stop(this->favoured);
    }
    if (!this->dispatcher_restarted &&
        this->fleet.seconds() >= this->plan.dispatcher_restarts_at) {
        this->dispatcher_restarted = true;
        this->fleet.begin_stop(0);
    }
    this->kill_members();
}

void connection_skew_fleet::kill_members()
{
    const std::vector<double>& times = this->plan.members_killed_at;
    if (this->next_member_kill >= times.size() ||
        this->fleet.seconds() < times[this->next_member_kill])
        return;
    this->next_member_kill += 1;
    for (std::size_t number = 0; number < this->fleet.size(); ++number) {
        const node* one = this->fleet.serving(number);
        if (one != nullptr && one->state.delegating &&
            this->draw() < this->plan.killed_share)
            this->fleet.kill(number, this->plan.down_for);
    }
}

connection_skew_result connection_skew_fleet::simulate()
{
    while (this->fleet.seconds() < this->plan.seconds) {
        this->fleet.step();
        this->advance_upstreams();
        this->inject_faults();
        if (this->fleet.seconds() < requests_from ||
            this->fleet.seconds() >= skew_until)
            continue;
        this->send_retries();
        this->generate_requests();
    }
    this->result.bytes_per_second = static_cast<std::uint64_t>(
        static_cast<double>(this->fleet.busiest_bytes()) / this->plan.seconds);
    this->result.largest_datagram = this->fleet.largest_datagram();
    return this->result;
}

} // namespace greengagedrum::entry::fleet_test
