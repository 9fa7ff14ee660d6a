#include <greengagedrum/entry/fleet_test/poison_request_fleet.hpp>

#include <algorithm>
#include <string>

namespace greengagedrum::entry::fleet_test
{

namespace
{

using namespace std::chrono_literals;

const base::workspace_id shop("shop");
constexpr base::duration crash_after = 180ms;
constexpr base::duration answer_after = 300ms;
// Minimum age of a process, and of a body's third crash, for a run to count as
// late.
constexpr base::duration min_age = 3s;
constexpr std::uint64_t shared_body = 999'999;

base::request_digest body_digest(std::uint64_t number)
{
    return base::digest_of_request(
        "shop", "POST", "/caption", std::to_string(number));
}

} // namespace

poison_request_fleet::poison_request_fleet(const poison_request_plan& plan)
    : plan(plan), bodies(plan.bodies), fleet(plan, this->hooks()),
      next_poison(this->fleet.time() + 5s)
{
}

upstream_crash_fleet::hooks poison_request_fleet::hooks()
{
    upstream_crash_fleet::hooks out;
    out.started = [this](upstream_crash_fleet::run& one) {
        this->start_run(one);
    };
    out.crashed = [this](const upstream_crash_fleet::run& one) {
        this->record_crash(one);
    };
    out.ended = [this](base::request_id id, const base::verdict& verdict) {
        if (this->ordinary.erase(id) > 0 &&
            verdict.why == base::reason::quarantined)
            this->result.refused_as_quarantined += 1;
    };
    out.answered = [this](base::request_id id) {
        this->result.answered +=
            static_cast<std::uint32_t>(this->ordinary.erase(id));
    };
    return out;
}

void poison_request_fleet::start_run(upstream_crash_fleet::run& one)
{
    const auto poison = this->poison.find(one.request);
    one.crashes = poison != this->poison.end() && this->plan.crashes;
    one.ends_at = this->fleet.time() + answer_after;
    if (!one.crashes)
        return;
    one.ends_at = this->fleet.time() + crash_after;
    this->result.poison_runs += 1;
    body_record& record = this->bodies[poison->second];
    const bool informed = this->fleet.age(one.entry) >= min_age;
    if (informed && record.crashes >= 3 &&
        this->fleet.time() - record.third_at >= min_age)
        record.late_runs += 1;
}

void poison_request_fleet::record_crash(const upstream_crash_fleet::run& one)
{
    body_record& record = this->bodies[this->poison.at(one.request)];
    record.crashes += 1;
    if (record.crashes == 3)
        record.third_at = this->fleet.time();
    this->result.crashed += 1;
}

void poison_request_fleet::submit_request(std::size_t at,
                                          std::optional<std::size_t> body)
{
    if (!this->fleet.is_serving(at))
        return;
    traffic::request_facts facts = upstream_crash_fleet::stream_request();
    facts.workspace = shop;
    facts.kind = base::kind_id("caption");
    const base::request_id id = this->fleet.next_id();
    if (body) {
        this->poison[id] = *body;
        facts.digest = body_digest(*body);
    } else {
        const bool use_shared_body =
            this->fleet.draw() < this->plan.same_body_share;
        facts.digest = body_digest(
            use_shared_body ? shared_body : this->next_ordinary_body++);
        this->ordinary.insert(id);
        this->result.ordinary += 1;
    }
    this->fleet.submit(at, id, facts);
}

void poison_request_fleet::send_poison_requests()
{
    if (this->fleet.time() < this->next_poison)
        return;
    const auto jitter =
        static_cast<std::int64_t>(this->fleet.random()() % 200'000);
    this->next_poison = this->fleet.time() + this->plan.poison_interval -
                        100ms + std::chrono::microseconds(jitter);
    const std::size_t body = this->next_body++ % this->plan.bodies;
    for (std::size_t copy = 0; copy < this->plan.copies; ++copy)
        this->submit_request(this->fleet.random()() % this->fleet.size(), body);
}

void poison_request_fleet::send_ordinary_requests()
{
    constexpr double step_seconds = 0.005;
    double due = this->plan.requests * step_seconds;
    for (; due >= 1; due -= 1)
        this->submit_request(this->fleet.random()() % this->fleet.size(),
                             std::nullopt);
    if (this->fleet.draw() < due)
        this->submit_request(this->fleet.random()() % this->fleet.size(),
                             std::nullopt);
}

poison_request_result poison_request_fleet::simulate()
{
    while (this->fleet.seconds() < this->plan.seconds) {
        if (!this->fleet.step())
            continue;
        this->send_ordinary_requests();
        this->send_poison_requests();
    }
    this->result.records = this->fleet.most_records();
    for (const body_record& one : this->bodies)
        this->result.late_runs =
            std::max(this->result.late_runs, one.late_runs);
    this->result.bytes_per_second = this->fleet.busiest_bytes_per_second();
    return this->result;
}

} // namespace greengagedrum::entry::fleet_test
