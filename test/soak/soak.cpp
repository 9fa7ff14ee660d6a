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
constexpr auto round_length = 1s;
constexpr auto first_fault = 300ms;
constexpr auto large_entries_away = 1500ms;
constexpr double served_share = 0.95;

// An entry that starts takes some milliseconds to listen, more on a busy
// machine.
constexpr auto start_margin = 1s;
constexpr auto link_margin = 100ms;
// A stream that lost its upstream may be resumed until its deadline.
constexpr auto stream_margin = 5s;

constexpr std::size_t small_bytes = 300;

struct request_size {
    unsigned weight;
    body_sizes sizes;
};

constexpr std::array<request_size, 4> sizes = {{{64, {200, small_bytes}},
                                                {25, {17'000, 4'000}},
                                                {8, {100'000, 60'000}},
                                                {3, {1'000'000, 300'000}}}};

constexpr std::array<const char*, 4> routes = {
    "/once/", "/again/", "/stream/", "/east/"};

// Links, upstreams, entries, callers.
constexpr std::array<std::size_t, 12> kinds = {
    0, 0, 0, 0, 1, 1, 1, 1, 2, 2, 2, 3};

// Of callers that don't read: their bodies are near the largest allowed.
constexpr body_sizes slow_sizes{4'000'000, 1'000'000};

std::int64_t milliseconds_of(clock::duration length)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(length)
        .count();
}

} // namespace

void run::disturbance::end(clock::duration margin)
{
    this->active -= 1;
    this->extend(margin);
}

void run::disturbance::extend(clock::duration margin)
{
    this->last = std::max(this->last, clock::now() + margin);
}

bool run::disturbance::since(clock::time_point begin) const
{
    return this->active > 0 || this->last >= begin;
}

run::run(options given)
    : given(std::move(given)), all(this->context, this->given, this->records),
      fault_dice(this->given.seed), load_dice(this->given.seed)
{
    for (std::size_t each = 0; each < world::entry_count; ++each) {
        this->callers.push_back(std::make_unique<caller>(
            this->context,
            world::callers_address(each),
            this->records,
            [this, each](const request_plan& plan, const outcome& what) {
                this->on_outcome(each, plan, what);
            }));
        this->add_entry_faults(each);
    }
    for (std::size_t each = 0; each < world::upstream_count; ++each)
        this->add_upstream_faults(each);
    this->faults.at(2).push_back({"large entries",
                                  "killed together",
                                  [this] {
                                      for (const fault& one : this->all_large)
                                          this->play_at(
                                              one, {}, large_entries_away);
                                  },
                                  [] {}});
    this->add_link_faults("store", this->all.store_links, nullptr, {});
    this->add_link_faults(
        "store of east", {this->all.store_links.front()}, nullptr, {});
    this->add_link_faults("other region", this->all.region_links, nullptr, {});
    this->faults.at(3).push_back({"callers",
                                  "not reading",
                                  [this] { this->slow_callers = true; },
                                  [this] { this->slow_callers = false; }});
}

bool run::pass()
{
    for (std::size_t each = 0; each < world::entry_count; ++each)
        this->restart(each);
    start(this->context, this->watch_entries());
    start(this->context, this->load());
    this->await_service(start_bound);
    this->draw_faults();
    this->run_for(this->given.length);
    while (this->faults_to_come > 0)
        this->run_for(watch_step);
    this->await_service(service_bound);
    this->stop_entries();
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
        const std::size_t entry = this->load_dice() % world::entry_count;
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
    return out;
}

bool run::counts(const request_plan& plan, clock::time_point began) const
{
    return !plan.stream() && plan.sizes.size <= small_bytes &&
           plan.behaviour == manner::reading && began >= this->round_began &&
           began < this->round_began + round_length;
}

void run::on_outcome(std::size_t entry,
                     const request_plan& plan,
                     const outcome& what)
{
    if (what.status == 200 && this->counts(plan, what.began))
        this->round_served += 1;
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

// ---- Faults ---------------------------------------------------------------

void run::add_link_faults(const std::string& target,
                          const std::vector<link*>& links,
                          disturbance* disturbed,
                          clock::duration margin)
{
    const auto set = [links](link_state state) {
        for (link* one : links)
            one->set(state);
    };
    for (std::size_t each = 1; each < link_state_names.size(); ++each)
        this->faults.at(0).push_back({"link to " + target,
                                      std::string(link_state_names.at(each)),
                                      [set, disturbed, each] {
                                          if (disturbed != nullptr)
                                              disturbed->active += 1;
                                          set(static_cast<link_state>(each));
                                      },
                                      [set, disturbed, margin] {
                                          set(link_state::passing);
                                          if (disturbed != nullptr)
                                              disturbed->end(margin);
                                      }});
}

void run::add_upstream_faults(std::size_t number)
{
    const std::string name = "u-" + std::to_string(number);
    this->add_link_faults(name,
                          {this->all.upstream_links.at(number)},
                          &this->upstreams_disturbed,
                          stream_margin);
    for (std::size_t each = 1; each < upstream_state_names.size(); ++each) {
        const auto state = static_cast<upstream_state>(each);
        this->faults.at(1).push_back(
            {name,
             std::string(upstream_state_names.at(each)),
             [this, number, state] {
                 this->upstreams_disturbed.active += 1;
                 this->all.upstreams.at(number)->set(state);
             },
             [this, number, state] {
                 this->all.upstreams.at(number)->set(upstream_state::serving);
                 if (state == upstream_state::crashed)
                     this->all.publish_upstream(number);
                 this->upstreams_disturbed.end(stream_margin);
             }});
    }
}

void run::add_entry_faults(std::size_t number)
{
    const std::string name = "entry-" + std::to_string(number);
    disturbance& disturbed = this->entry_disturbed.at(number);
    this->add_link_faults(
        name, {this->all.caller_links.at(number)}, &disturbed, link_margin);
    entry_process& process = *this->all.entries.at(number);
    const auto kill = [&disturbed, &process] {
        disturbed.active += 1;
        process.kill();
    };
    const auto revive = [this, &disturbed, number] {
        this->restart(number);
        disturbed.end(link_margin);
    };
    this->faults.at(2).push_back({name, "killed", kill, revive});
    if (number < world::large_entries)
        this->all_large.push_back({name, "killed", kill, revive});
    this->faults.at(2).push_back({name,
                                  "frozen",
                                  [&disturbed, &process] {
                                      disturbed.active += 1;
                                      process.signal(SIGSTOP);
                                  },
                                  [&disturbed, &process] {
                                      process.signal(SIGCONT);
                                      disturbed.end(link_margin);
                                  }});
    this->faults.at(2).push_back({name,
                                  "stopped",
                                  [&process] { process.signal(SIGTERM); },
                                  [this, number] { this->restart(number); },
                                  [&process] { return !process.alive(); }});
}

void run::restart(std::size_t entry)
{
    this->all.entries.at(entry)->start();
    this->entry_disturbed.at(entry).extend(start_margin);
}

// All of them end within the time with faults.
void run::draw_faults()
{
    const auto draw = [this](std::size_t least, std::size_t most) {
        return std::uniform_int_distribution(least, most)(this->fault_dice);
    };
    const auto draw_time = [&](std::size_t least, std::size_t most) {
        return std::chrono::milliseconds(draw(least, most));
    };
    clock::duration at = first_fault;
    while (at < this->given.length) {
        const auto& kind = this->faults.at(kinds.at(draw(0, kinds.size() - 1)));
        const fault& one = kind.at(draw(0, kind.size() - 1));
        const clock::duration length = std::min<clock::duration>(
            draw_time(200, 2500), this->given.length - at);
        this->play_at(one, at, length);
        at += draw_time(150, 700);
    }
}

void run::play_at(const fault& one, clock::duration at, clock::duration length)
{
    this->faults_to_come += 1;
    start(this->context, this->play(one, at, length));
}

task run::play(fault one, clock::duration at, clock::duration length)
{
    co_await pause(this->context, at);
    if (!this->busy.insert(one.target).second) {
        this->faults_to_come -= 1;
        co_return;
    }
    std::cout << milliseconds_of(at) << " ms, for " << milliseconds_of(length)
              << " ms: " << one.target << ": " << one.name << std::endl;
    one.begin();
    co_await pause(this->context, length);
    while (one.may_end && !one.may_end())
        co_await pause(this->context, watch_step);
    one.end();
    this->faults_to_come -= 1;
    // A process that is signalled before it has installed its handlers ends.
    co_await pause(this->context, start_margin);
    this->busy.erase(one.target);
}

task run::watch_entries()
{
    while (true) {
        for (const auto& one : this->all.entries)
            one->check();
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
