#include "fleet_simulation.hpp"

#include <algorithm>
#include <string>

namespace greengagedrum::quota::test
{

namespace
{

using namespace std::chrono_literals;

const base::workspace_id busy("busy");
constexpr base::duration step = 10ms;
constexpr base::duration message_interval = 50ms;
constexpr base::duration message_delay = 10ms;
constexpr base::duration window = 8s;
// A change of the limit applies at all entries within this time.
constexpr base::duration change_bound = 2s;

base::slot_id name_of(std::size_t entry)
{
    return base::slot_id("entry-" + std::to_string(entry));
}

} // namespace

simulation_plan random_plan(std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    const auto draw = [&](double low, double high) {
        return std::uniform_real_distribution<double>(low, high)(random);
    };
    simulation_plan out;
    out.seed = seed;
    out.entries = 2 + random() % 8;
    out.usual_demand = draw(0.1, 1.2);
    out.busy_demand = draw(1, 8);
    out.busy_from = draw(0, 20);
    out.busy_for = draw(1, 15);
    out.half_at_one_entry = draw(0, 1) < 0.5;
    out.longest_wait = draw(0, 3);
    out.refused_after_wait = draw(0, 0.9);
    if (draw(0, 1) < 0.7) {
        out.isolated_from = draw(0, 25);
        out.isolated_for = draw(0.3, 13);
        out.isolated_entries = 1 + random() % out.entries;
    }
    if (draw(0, 1) < 0.4) {
        out.split_from = draw(0, 25);
        out.split_for = draw(0.3, 13);
    }
    if (draw(0, 1) < 0.5)
        out.restarts.push_back(draw(0, 30));
    while (draw(0, 1) < 0.5)
        out.limits.emplace_back(draw(0, 30), draw(0.3, 2));
    std::sort(out.limits.begin(), out.limits.end());
    return out;
}

fleet_simulation::fleet_simulation(const simulation_plan& plan)
    : plan(plan), random(plan.seed), started_at(1h), now(1h)
{
    this->factors.emplace_back(this->now - 1h, 1.0);
    for (std::size_t at = 0; at < plan.entries; ++at) {
        // The entries have been running for a while.
        this->entries.push_back({usage_limiter(this->now - 1min),
                                 base::incarnation{this->next_incarnation++},
                                 1});
        this->configure(this->entries.back());
    }
}

double fleet_simulation::seconds() const
{
    return static_cast<double>((this->now - this->started_at).count()) / 1e6;
}

double fleet_simulation::draw()
{
    return std::uniform_real_distribution<double>(0, 1)(this->random);
}

void fleet_simulation::configure(entry& target)
{
    target.limiter.set_tolerance(
        {window, this->plan.overshoot, this->plan.slack});
    routing::configuration config;
    routing::workspace known;
    known.id = busy;
    known.limit.per_second = this->plan.rate * target.factor;
    known.limit.burst = known.limit.per_second;
    known.limit.in_tokens = true;
    config.workspaces.push_back(known);
    target.limiter.set_limits(config, this->now);
}

// Each entry applies the change at a random time within the bound.
void fleet_simulation::change_limits()
{
    if (this->next_limit < this->plan.limits.size() &&
        this->seconds() >= this->plan.limits[this->next_limit].first) {
        this->factors.emplace_back(this->now,
                                   this->plan.limits[this->next_limit].second);
        this->next_limit += 1;
    }
    const auto& [published, factor] = this->factors.back();
    for (entry& target : this->entries) {
        const bool due =
            this->now - published >= change_bound || this->draw() < 0.01;
        if (target.factor == factor || !due)
            continue;
        target.factor = factor;
        this->configure(target);
    }
}

void fleet_simulation::restart_entries()
{
    if (this->next_restart >= this->plan.restarts.size() ||
        this->seconds() < this->plan.restarts[this->next_restart])
        return;
    this->next_restart += 1;
    const std::size_t at =
        (this->plan.restart_in_turn ? this->next_restart : this->random()) %
        this->entries.size();
    entry fresh{usage_limiter(this->now),
                base::incarnation{this->next_incarnation++},
                this->factors.back().second};
    // Its settings name some of the other entries.
    fresh.limiter.set_never_heard_peer_count(
        std::min<std::size_t>(3, this->entries.size() - 1));
    this->entries[at] = std::move(fresh);
    this->configure(this->entries[at]);
}

bool fleet_simulation::connected(std::size_t from, std::size_t to) const
{
    const double at = this->seconds();
    const bool isolated =
        at >= this->plan.isolated_from &&
        at < this->plan.isolated_from + this->plan.isolated_for;
    if (isolated && (from < this->plan.isolated_entries ||
                     to < this->plan.isolated_entries))
        return false;
    const bool split = at >= this->plan.split_from &&
                       at < this->plan.split_from + this->plan.split_for;
    return !split || from % 2 == to % 2;
}

void fleet_simulation::send_messages()
{
    for (std::size_t from = 0; from < this->entries.size(); ++from) {
        entry& sender = this->entries[from];
        const auto usage = sender.limiter.own_usage(this->now);
        for (std::size_t to = 0; to < this->entries.size(); ++to) {
            if (to != from && this->connected(from, to))
                this->messages.push_back({this->now + message_delay,
                                          from,
                                          to,
                                          sender.incarnation,
                                          usage});
        }
    }
}

void fleet_simulation::deliver_messages()
{
    while (!this->messages.empty() &&
           this->messages.front().arrives <= this->now) {
        const message reported = std::move(this->messages.front());
        this->messages.pop_front();
        // From a process that has ended.
        if (reported.incarnation != this->entries[reported.from].incarnation)
            continue;
        usage_limiter& to = this->entries[reported.to].limiter;
        to.set_never_heard_peer_count(0);
        to.on_peer_report(name_of(reported.from),
                          reported.incarnation,
                          reported.usage,
                          false,
                          this->now);
    }
}

void fleet_simulation::submit_at(std::size_t at, double cost)
{
    entry& target = this->entries[at];
    this->result.requested += cost;
    this->requested_by_time.emplace_back(this->now, cost);
    if (target.limiter.try_acquire(busy, cost, 0, this->now)) {
        this->result.refused += cost;
        return;
    }
    const double wait = this->draw() * this->draw() * this->plan.longest_wait;
    const base::instant until =
        this->now + base::duration(static_cast<std::int64_t>(wait * 1e6));
    const bool sent =
        wait < 0.05 || this->draw() >= this->plan.refused_after_wait;
    this->waiting.push_back(
        {this->now, until, at, target.incarnation, cost, sent});
}

void fleet_simulation::submit_requests()
{
    const double at = this->seconds();
    const bool is_busy = at >= this->plan.busy_from &&
                         at < this->plan.busy_from + this->plan.busy_for;
    const double demand =
        is_busy ? this->plan.busy_demand : this->plan.usual_demand;
    double due = demand * this->plan.rate * 0.01; // of one step
    while (due > 0) {
        // Costs like those of prompts: most are small, some are very large.
        const double size = this->draw();
        const double cost = this->plan.rate * (0.002 + 0.05 * size * size);
        due -= cost;
        if (due < 0 && this->draw() > (due + cost) / cost)
            return;
        const bool first = this->plan.half_at_one_entry && this->draw() < 0.5;
        this->submit_at(first ? 0 : this->random() % this->entries.size(),
                        cost);
    }
}

void fleet_simulation::finish_waiting()
{
    std::erase_if(this->waiting, [&](const waiting_request& request) {
        if (request.until > this->now)
            return false;
        entry& owner = this->entries[request.at];
        // Its process has ended.
        if (owner.incarnation != request.incarnation)
            return true;
        if (!request.sent) {
            owner.limiter.refund_unsent(busy, request.cost, this->now);
            return true;
        }
        owner.limiter.on_sent(busy, request.cost, this->now);
        this->sent_requests.push_back(
            {request.admitted_at, this->now, request.cost});
        this->result.admitted += request.cost;
        return true;
    });
}

simulation_result fleet_simulation::run()
{
    base::instant messages_at = this->now;
    while (this->seconds() < this->plan.seconds) {
        this->now += step;
        this->change_limits();
        this->restart_entries();
        this->deliver_messages();
        for (entry& target : this->entries)
            target.limiter.update_silent_peers(this->now);
        this->submit_requests();
        this->finish_waiting();
        if (this->now < messages_at)
            continue;
        messages_at += message_interval;
        this->send_messages();
    }
    this->measure_windows(this->result);
    return this->result;
}

// Until a partition is detected, each entry goes by what it last heard.
double fleet_simulation::requested_before_detection(base::instant until) const
{
    double sum = 0;
    for (const auto& [at, cost] : this->requested_by_time) {
        for (const double isolated :
             {this->plan.isolated_from, this->plan.split_from}) {
            const double after =
                static_cast<double>((at - this->started_at).count()) / 1e6 -
                isolated;
            if (after >= 0 && after < 0.5 && at > until - window && at <= until)
                sum += cost;
        }
    }
    return sum;
}

// The highest limit that applied anywhere within the window. A lowered limit
// need not be kept yet for the time that a change takes and one window more.
double fleet_simulation::tolerated_usage(base::instant until) const
{
    const base::instant from = until - window - window - change_bound;
    double highest = 0;
    for (std::size_t at = 0; at < this->factors.size(); ++at) {
        const bool ended =
            at + 1 < this->factors.size() && this->factors[at + 1].first < from;
        if (!ended && this->factors[at].first <= until)
            highest = std::max(highest, this->factors[at].second);
    }
    // The window and the burst.
    const double limit = highest * this->plan.rate * (8 + 1);
    return limit * (1 + this->plan.overshoot) + this->plan.slack +
           this->requested_before_detection(until);
}

// Counts what was both admitted and sent within the window.
void fleet_simulation::measure_windows(simulation_result& out) const
{
    for (base::instant until = this->started_at + window; until <= this->now;
         until += 100ms) {
        double sum = 0;
        for (const admitted_request& request : this->sent_requests) {
            if (request.admitted_at > until - window && request.sent <= until)
                sum += request.cost;
        }
        const double share = sum / this->tolerated_usage(until);
        if (share > out.highest_share) {
            out.highest_share = share;
            out.highest_at =
                static_cast<double>((until - this->started_at).count()) / 1e6;
        }
    }
}

} // namespace greengagedrum::quota::test
