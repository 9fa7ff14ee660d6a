// What a decision about a request costs, over the number of upstreams and of
// requests that wait.
#include <greengagedrum/traffic/scheduler.hpp>

#include <array>
#include <chrono>
#include <cstdio>
#include <deque>
#include <string>

namespace
{

using namespace greengagedrum;
using clock_type = std::chrono::steady_clock;

constexpr std::array<std::size_t, 4> sizes = {12, 90, 300, 4600};
constexpr std::size_t data_centres = 4;
constexpr std::uint32_t slots = 5;
constexpr std::size_t peers = 7;
constexpr std::uint64_t warm_up = 200;
constexpr std::uint64_t measured = 2000;
constexpr std::array<std::size_t, 4> queue_lengths = {1, 30, 100, 300};

double microseconds_since(clock_type::time_point from)
{
    return std::chrono::duration<double, std::micro>(clock_type::now() - from)
        .count();
}

struct run {
    base::instant now{std::chrono::hours(1)};
    traffic::scheduler tested{{0.2, 50, std::chrono::seconds(10)}, {"dc-0", 1}};
    traffic::actions out;

    explicit run(std::size_t upstreams)
    {
        for (std::size_t number = 0; number < upstreams; ++number) {
            routing::published_upstream entry;
            entry.name = "i-" + std::to_string(number);
            entry.id = base::upstream_id(entry.name);
            entry.service = base::upstream_class_id("models");
            entry.data_centre = "dc-" + std::to_string(number % data_centres);
            entry.slots = slots;
            this->tested.upstream_joined(entry, this->now);
        }
    }

    // A message of each peer, with one request on every third upstream.
    void hear(std::size_t upstreams)
    {
        std::vector<traffic::upstream_load> uses;
        for (std::size_t number = 0; number < upstreams; number += 3)
            uses.push_back(
                {base::upstream_id("i-" + std::to_string(number)), 1, 0});
        for (std::size_t peer = 0; peer < peers; ++peer)
            this->tested.on_peer_report(
                base::slot_id(std::to_string(peer)), uses, {}, this->now);
    }

    // One request from its arrival to its answer.
    void serve(std::uint64_t number)
    {
        this->now += std::chrono::milliseconds(1);
        const base::request_id id{number};
        traffic::request_facts facts;
        facts.service = base::upstream_class_id("models");
        facts.stream = true;
        facts.prompt_tokens = 3000;
        facts.output_tokens = 100;
        facts.latency_objective = std::chrono::milliseconds(800);
        facts.time_left = std::chrono::seconds(12);
        this->out.clear();
        this->tested.step(
            traffic::request_arrived{id, facts}, this->now, this->out);
        for (const traffic::action& one : this->out) {
            const auto* send = std::get_if<traffic::send_request>(&one);
            if (send == nullptr)
                continue;
            const std::uint32_t order = send->send;
            traffic::actions rest;
            this->tested.step(
                traffic::events_received{id, order, 1}, this->now, rest);
            this->tested.step(
                traffic::answer_received{id, order, true}, this->now, rest);
            return;
        }
    }
};

void measure(std::size_t upstreams)
{
    run bench(upstreams);
    bench.hear(upstreams);
    std::uint64_t number = 1;
    for (; number <= warm_up; ++number)
        bench.serve(number);
    auto from = clock_type::now();
    for (; number <= warm_up + measured; ++number)
        bench.serve(number);
    const double request = microseconds_since(from) / measured;
    from = clock_type::now();
    bench.hear(upstreams);
    const double message = microseconds_since(from) / peers;
    std::printf(
        "%6zu upstreams: %9.2f us a request, %9.2f us a peer's message\n",
        upstreams,
        request,
        message);
}

// A dispatcher whose upstreams are full: each answer frees a slot, which a
// queued request gets, and another request arrives.
struct burst {
    run bench;
    std::deque<std::pair<base::request_id, std::uint32_t>> running;
    std::uint64_t next_request = 1;

    burst(std::size_t upstreams, std::size_t queued) : bench(upstreams)
    {
        this->bench.tested.set_entry_count(data_centres);
        while (this->bench.tested.waiting() < queued)
            this->arrive();
    }

    void step(const traffic::event& what)
    {
        this->bench.out.clear();
        this->bench.tested.step(what, this->bench.now, this->bench.out);
        for (const traffic::action& one : this->bench.out) {
            if (const auto* send = std::get_if<traffic::send_request>(&one))
                this->running.emplace_back(send->request, send->send);
        }
    }

    void arrive()
    {
        constexpr std::array<std::uint32_t, 3> prompts = {3700, 2900, 1100};
        traffic::request_facts facts;
        facts.priority = static_cast<std::uint32_t>(this->next_request % 3);
        facts.kind = base::kind_id(std::to_string(facts.priority));
        facts.service = base::upstream_class_id("models");
        facts.stream = true;
        facts.prompt_tokens = prompts.at(facts.priority);
        facts.output_tokens = 100;
        facts.latency_objective = std::chrono::seconds(30);
        facts.event_gap_objective = std::chrono::milliseconds(400);
        facts.time_left = std::chrono::minutes(10);
        this->step(traffic::request_arrived{
            base::request_id{this->next_request++}, facts});
    }

    void turn()
    {
        this->bench.now += std::chrono::microseconds(500);
        const auto [id, send] = this->running.front();
        this->running.pop_front();
        this->step(traffic::events_received{id, send, 1});
        this->step(traffic::answer_received{id, send, true});
        this->arrive();
    }
};

void measure_burst(std::size_t upstreams, std::size_t queued)
{
    burst bench(upstreams, queued);
    for (std::uint64_t number = 0; number < warm_up; ++number)
        bench.turn();
    const std::uint64_t rated_before =
        bench.bench.tested.counters().upstreams_rated;
    const auto from = clock_type::now();
    for (std::uint64_t number = 0; number < measured; ++number)
        bench.turn();
    const double request = microseconds_since(from) / measured;
    const std::uint64_t rated =
        bench.bench.tested.counters().upstreams_rated - rated_before;
    std::printf("%6zu upstreams, %4zu waiting: %9.2f us and %7.1f upstreams "
                "rated a request\n",
                upstreams,
                bench.bench.tested.waiting(),
                request,
                static_cast<double>(rated) / measured);
}

} // namespace

int main()
{
    for (const std::size_t upstreams : sizes)
        measure(upstreams);
    for (const std::size_t upstreams : sizes) {
        for (const std::size_t queued : queue_lengths)
            measure_burst(upstreams, queued);
    }
}
