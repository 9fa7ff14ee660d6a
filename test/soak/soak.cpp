#include "soak.hpp"

#include <algorithm>
#include <iostream>
#include <utility>

namespace soak
{

namespace
{

using namespace std::chrono_literals;

constexpr auto watch_step = 20ms;
constexpr auto service_bound = 15s;
constexpr auto start_bound = 10s;
constexpr auto stop_bound = 9s;
constexpr auto round_length = 1s;
constexpr double served_share = 0.95;

// An entry that starts takes some milliseconds to listen, more on a busy
// machine.
constexpr auto start_margin = 1s;
constexpr auto link_margin = 100ms;
// A stream that lost its upstream may be resumed until its deadline.
constexpr auto stream_margin = 3s;

constexpr std::size_t small_bytes = 300;

struct request_size {
    unsigned weight;
    std::size_t sent;
    std::size_t size;
};

constexpr std::array<request_size, 4> sizes = {{{64, 200, small_bytes},
                                                {25, 17'000, 4'000},
                                                {8, 100'000, 60'000},
                                                {3, 1'000'000, 300'000}}};

constexpr std::array<const char*, 4> routes = {
    "/once/", "/again/", "/stream/", "/east/"};

bool is_small(const request_plan& plan)
{
    return !plan.stream() && plan.size <= small_bytes;
}

} // namespace

void run::disturbance::end(clock::duration margin)
{
    this->active -= 1;
    this->last = std::max(this->last, clock::now() + margin);
}

bool run::disturbance::since(clock::time_point begin) const
{
    return this->active > 0 || this->last >= begin;
}

run::run(options given)
    : given(std::move(given)), all(this->context, this->given, this->records),
      dice(this->given.seed)
{
    for (const link_group& one : this->all.groups)
        this->targets.groups.push_back(one.name);
    this->targets.entries = world::entry_count;
    this->targets.upstreams = world::upstream_count;
    for (std::size_t each = 0; each < world::entry_count; ++each)
        this->callers.push_back(std::make_unique<caller>(
            this->context,
            this->all.callers_address(each),
            this->records,
            [this, each](const request_plan& plan, const outcome& what) {
                this->on_outcome(each, plan, what);
            }));
}

bool run::pass()
{
    for (std::size_t each = 0; each < world::entry_count; ++each) {
        this->entry_disturbed.at(each).last = clock::now() + start_bound;
        this->all.entries.at(each)->start();
    }
    start(this->context, this->watch_entries());
    start(this->context, this->load());
    this->await_service(start_bound);
    for (disturbance& one : this->entry_disturbed)
        one.last = clock::now();
    for (fault& one :
         draw_faults(this->given.seed, this->given.length, this->targets))
        start(this->context, this->play(std::move(one)));
    this->run_for(this->given.length);
    while (this->faults_active > 0)
        this->run_for(watch_step);
    this->await_service(service_bound);
    this->stop_entries();
    this->check_memory();
    std::cout << this->records.report() << std::endl;
    return this->records.violations().empty();
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
        const std::size_t entry = this->dice() % world::entry_count;
        if (!this->takes_callers(entry))
            continue;
        if (is_small(plan) && plan.behaviour == manner::reading &&
            clock::now() < this->round_began + round_length)
            this->round_sent += 1;
        start(this->context, this->callers.at(entry)->send(plan));
    }
}

bool run::takes_callers(std::size_t entry) const
{
    const entry_process& one = *this->all.entries.at(entry);
    return one.running() || (one.stopping() && !one.seen_stopping());
}

request_plan run::draw_request()
{
    request_plan out;
    this->sent += 1;
    out.attempt =
        std::to_string(this->given.seed) + "-" + std::to_string(this->sent);
    out.route = routes.at(this->dice() % routes.size());
    auto draw = static_cast<unsigned>(this->dice() % 100);
    auto chosen = sizes.begin();
    for (; draw >= chosen->weight; ++chosen)
        draw -= chosen->weight;
    out.sent = chosen->sent;
    out.size = chosen->size;
    const auto manner_draw = this->dice() % 100;
    if (manner_draw < 2)
        out.behaviour = manner::leaving;
    else if (manner_draw < (this->slow_callers ? 50 : 4))
        out.behaviour = manner::not_reading;
    if (out.behaviour == manner::not_reading)
        out.size = sizes.back().size;
    return out;
}

void run::on_outcome(std::size_t entry,
                     const request_plan& plan,
                     const outcome& what)
{
    if (what.how == ending::whole) {
        if (is_small(plan) && plan.behaviour == manner::reading &&
            what.status == 200 && what.began >= this->round_began &&
            what.began < this->round_began + round_length)
            this->round_served += 1;
        return;
    }
    const std::string how = what.how == ending::late ? "late" : "cut";
    if (this->excused(entry, plan, what))
        return this->records.count(how);
    const auto after = std::chrono::duration_cast<std::chrono::milliseconds>(
        clock::now() - what.began);
    this->records.violation(
        plan.attempt + " " + plan.route + " at entry-" + std::to_string(entry) +
        (this->all.entries.at(entry)->running() ? "" : ", which stops,") +
        " was " + how + " after " + std::to_string(after.count()) + " ms");
}

bool run::excused(std::size_t entry,
                  const request_plan& plan,
                  const outcome& what) const
{
    return plan.behaviour != manner::reading ||
           this->entry_disturbed.at(entry).since(what.began) ||
           (plan.stream() && this->upstreams_disturbed.since(what.began));
}

// ---- Faults ---------------------------------------------------------------

task run::play(fault one)
{
    this->faults_active += 1;
    co_await pause(this->context, one.at);
    const bool begun = std::visit(
        [this](const auto& kind) { return this->begin(kind); }, one.kind);
    if (begun) {
        std::cout << to_text(one, this->targets) << std::endl;
        co_await pause(this->context, one.length);
        std::visit([this](const auto& kind) { this->end(kind); }, one.kind);
    }
    this->faults_active -= 1;
}

void run::set_links(std::size_t group, link_state state)
{
    for (link* one : this->all.groups.at(group).links)
        one->set(state);
}

bool run::begin(const link_fault& one)
{
    const link_group& group = this->all.groups.at(one.group);
    if (group.callers_of)
        this->entry_disturbed.at(*group.callers_of).active += 1;
    if (group.to_upstream)
        this->upstreams_disturbed.active += 1;
    this->set_links(one.group, one.state);
    return true;
}

void run::end(const link_fault& one)
{
    const link_group& group = this->all.groups.at(one.group);
    this->set_links(one.group, link_state::passing);
    if (group.callers_of)
        this->entry_disturbed.at(*group.callers_of).end(link_margin);
    if (group.to_upstream)
        this->upstreams_disturbed.end(stream_margin);
}

bool run::begin(const upstream_fault& one)
{
    this->upstreams_disturbed.active += 1;
    this->all.set_upstream(one.upstream, one.state);
    return true;
}

void run::end(const upstream_fault& one)
{
    this->all.set_upstream(one.upstream, upstream_state::serving);
    this->upstreams_disturbed.end(stream_margin);
}

bool run::begin(const entry_killed& one)
{
    if (std::exchange(this->entry_busy.at(one.entry), true))
        return false;
    this->entry_disturbed.at(one.entry).active += 1;
    this->all.entries.at(one.entry)->kill();
    return true;
}

void run::end(const entry_killed& one)
{
    this->all.entries.at(one.entry)->start();
    this->entry_disturbed.at(one.entry).end(start_margin);
    this->entry_busy.at(one.entry) = false;
}

bool run::begin(const entry_frozen& one)
{
    if (std::exchange(this->entry_busy.at(one.entry), true))
        return false;
    this->entry_disturbed.at(one.entry).active += 1;
    this->all.entries.at(one.entry)->freeze();
    return true;
}

void run::end(const entry_frozen& one)
{
    this->all.entries.at(one.entry)->thaw();
    this->entry_disturbed.at(one.entry).end(link_margin);
    this->entry_busy.at(one.entry) = false;
}

bool run::begin(const entry_stopped& one)
{
    if (std::exchange(this->entry_busy.at(one.entry), true))
        return false;
    this->all.entries.at(one.entry)->begin_stop();
    return true;
}

// It may take longer to stop than the fault lasts.
void run::end(const entry_stopped& one)
{
    this->restart_wanted.at(one.entry) = true;
    this->faults_active += 1;
}

bool run::begin(const callers_slow&)
{
    return !std::exchange(this->slow_callers, true);
}

void run::end(const callers_slow&)
{
    this->slow_callers = false;
}

task run::watch_entries()
{
    while (true) {
        for (std::size_t each = 0; each < world::entry_count; ++each) {
            entry_process& one = *this->all.entries.at(each);
            one.check();
            if (!this->restart_wanted.at(each) || one.running() ||
                one.stopping())
                continue;
            this->restart_wanted.at(each) = false;
            this->entry_busy.at(each) = false;
            this->faults_active -= 1;
            one.start();
            this->entry_disturbed.at(each).active += 1;
            this->entry_disturbed.at(each).end(start_margin);
        }
        co_await pause(this->context, watch_step);
    }
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
        one->begin_stop();
    this->run_for(round_length);
    this->loading = false;
    const auto limit = clock::now() + stop_bound;
    const auto any_stopping = [this] {
        return std::any_of(this->all.entries.begin(),
                           this->all.entries.end(),
                           [](const auto& one) { return one->stopping(); });
    };
    while (any_stopping() && clock::now() < limit)
        this->run_for(watch_step);
    this->run_for(watch_step); // ends of connections
}

void run::check_memory()
{
    constexpr std::size_t kib_per_mb = 1'000'000 / 1024;
    std::size_t peak = 0;
    for (const auto& one : this->all.entries)
        peak = std::max(peak, one->peak_kib());
    std::cout << "largest entry: " << peak << " KiB" << std::endl;
    if (peak > this->given.memory_mb * kib_per_mb)
        this->records.violation("an entry used " + std::to_string(peak) +
                                " KiB");
}

} // namespace soak
