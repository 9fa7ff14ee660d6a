#include "soak.hpp"

#include <algorithm>
#include <iostream>
#include <utility>

namespace soak
{

namespace
{

using namespace std::chrono_literals;

constexpr auto service_bound = 15s;
constexpr auto start_bound = 10s;
constexpr auto round_length = 1s;
constexpr double served_share = 0.95;

constexpr std::size_t small_bytes = 300;

struct request_size {
    unsigned weight;
    body_sizes sizes;
};

constexpr std::array<request_size, 4> sizes = {{{64, {200, small_bytes}},
                                                {25, {17'000, 4'000}},
                                                {8, {100'000, 60'000}},
                                                {3, {1'000'000, 300'000}}}};

constexpr std::array<const char*, 5> routes = {
    "/once/", "/again/", "/stream/", "/east/", "/book/"};

// Of callers that don't read: their bodies are near the largest allowed.
constexpr body_sizes slow_sizes{4'000'000, 1'000'000};

} // namespace

run::run(options given)
    : given(std::move(given)), all(this->context, this->given, this->records),
      entry_disturbed(this->given.entries), fault_dice(this->given.seed),
      load_dice(this->given.seed), part_dice(this->given.seed),
      prompts(this->given.seed)
{
    for (std::size_t each = 0; each < this->given.entries; ++each) {
        this->callers.push_back(std::make_unique<caller>(
            this->context,
            world::callers_address(each),
            this->records,
            [this, each](const request_plan& plan, const outcome& what) {
                this->on_outcome(each, plan, what);
            }));
    }
    this->add_all_faults();
}

bool run::pass()
{
    for (std::size_t each = 0; each < this->given.entries; ++each)
        this->restart(each);
    start(this->context, this->watch_entries());
    start(this->context, this->load());
    this->await_service(start_bound);
    if (this->given.crashing_part)
        this->begin_crashing_part();
    this->draw_faults();
    this->run_for(this->given.length);
    if (this->crashing)
        this->crashing->end_of_faults();
    while (this->faults_to_come > 0)
        this->run_for(watch_step);
    this->await_service(service_bound);
    this->stop_entries();
    if (this->crashing)
        this->crashing->check();
    std::cout << this->records.report() << std::endl;
    return this->records.violations() == 0;
}

// ---- Load -----------------------------------------------------------------

task run::load()
{
    const auto period = std::chrono::duration_cast<clock::duration>(
        std::chrono::duration<double>(1 / this->given.rate));
    asio::steady_timer timer(this->context, clock::now());
    while (this->loading) {
        timer.expires_at(timer.expiry() + period);
        error_code ignored;
        co_await timer.async_wait(into(ignored));
        const request_plan plan = this->draw_request();
        const std::size_t entry = this->load_dice() % this->given.entries;
        if (!this->all.entries.at(entry)->takes_callers())
            continue;
        if (this->counts(plan, clock::now()))
            this->round_sent += 1;
        start(this->context, this->callers.at(entry)->send(plan));
    }
}

request_plan run::draw_request()
{
    request_plan out;
    this->sent += 1;
    out.attempt =
        std::to_string(this->given.seed) + "-" + std::to_string(this->sent);
    out.route = routes.at(this->load_dice() % routes.size());
    auto draw = static_cast<unsigned>(this->load_dice() % 100);
    auto chosen = sizes.begin();
    for (; draw >= chosen->weight; ++chosen)
        draw -= chosen->weight;
    out.sizes = chosen->sizes;
    const auto manner_draw = this->load_dice() % 100;
    if (manner_draw < 2)
        out.behaviour = manner::leaving;
    else if (manner_draw < (this->slow_callers ? 50 : 4))
        out.behaviour = manner::not_reading;
    if (out.behaviour == manner::not_reading)
        out.sizes = slow_sizes;
    if (out.stream())
        out.announced = this->prompts.draw();
    return out;
}

bool run::is_small(const request_plan& plan) const
{
    return plan.sizes.size <= small_bytes && plan.behaviour == manner::reading;
}

bool run::counts(const request_plan& plan, clock::time_point began) const
{
    return !plan.stream() && this->is_small(plan) &&
           began >= this->round_began &&
           began < this->round_began + round_length;
}

void run::on_outcome(std::size_t entry,
                     const request_plan& plan,
                     const outcome& what)
{
    if (what.status == 200 && this->counts(plan, what.began))
        this->round_served += 1;
    this->judge_sound(entry, plan, what);
    if (what.status > 0)
        return;
    const bool excused =
        plan.behaviour != manner::reading ||
        this->entry_disturbed.at(entry).since(what.began) ||
        (plan.stream() && this->upstreams_disturbed.since(what.began));
    const std::string how = what.late ? "late" : "cut";
    if (excused)
        return this->records.count(how);
    const bool stopping = !this->all.entries.at(entry)->takes_callers();
    this->records.violation(
        plan.attempt + " " + plan.route + " at entry-" + std::to_string(entry) +
        (stopping ? ", which stops or has stopped, " : " ") + "was " + how +
        " after " + std::to_string(milliseconds_of(clock::now() - what.began)) +
        " ms");
}

// ---- Checks ---------------------------------------------------------------

void run::await_service(clock::duration limit)
{
    const auto begun = clock::now();
    while (true) {
        this->round_began = clock::now();
        this->round_sent = this->round_served = 0;
        this->run_for(2 * round_length);
        const double share =
            static_cast<double>(this->round_served) /
            static_cast<double>(std::max<std::size_t>(1, this->round_sent));
        if (share >= served_share)
            return;
        if (clock::now() - begun > limit)
            return this->records.violation(
                "small requests are not served in time: " +
                std::to_string(this->round_served) + " of " +
                std::to_string(this->round_sent));
    }
}

// All at once, in mid load: nothing in flight may be cut.
void run::stop_entries()
{
    for (const auto& one : this->all.entries)
        one->signal(SIGTERM);
    this->run_for(round_length);
    this->loading = false;
    const auto alive = [](const auto& one) { return one->alive(); };
    while (
        std::any_of(this->all.entries.begin(), this->all.entries.end(), alive))
        this->run_for(watch_step);
    this->run_for(10 * watch_step); // ends of connections
}

} // namespace soak
