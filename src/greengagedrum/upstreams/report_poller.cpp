#include <greengagedrum/upstreams/report_poller.hpp>

#include <algorithm>

namespace greengagedrum::upstreams
{

namespace
{

using membership::instance_type;
using membership::listed_state;

constexpr std::chrono::milliseconds refresh_period(200);
constexpr std::uint32_t events_every = 4;  // polls; cache events are hints
constexpr std::size_t askers_at_full = 4;  // entries asking at the full rate
constexpr std::uint32_t doublings_max = 5; // of the pause after failures
constexpr double jitter_least = 0.8;       // of a pause
constexpr double jitter_most = 1.2;

} // namespace

report_poller::target::target(const std::string& name,
                              const std::string& at,
                              std::chrono::milliseconds timeout)
    : address(at), client(name, at, timeout)
{
}

report_poller::report_poller(const poll_options& chosen,
                             const directory& known,
                             callers::inbox& inbox)
    : options(chosen), upstreams(known), events(inbox), random(chosen.seed)
{
}

report_poller::~report_poller()
{
    this->stop();
}

void report_poller::start()
{
    for (std::size_t number = 0; number < this->options.threads; ++number)
        this->threads.emplace_back([this] { this->run(); });
}

void report_poller::stop()
{
    {
        const std::lock_guard lock(this->mutex);
        this->stopping = true;
    }
    this->changed.notify_all();
    for (std::thread& one : this->threads)
        one.join();
    this->threads.clear();
}

void report_poller::run()
{
    std::unique_lock lock(this->mutex);
    while (!this->stopping) {
        const clock::time_point now = clock::now();
        if (now >= this->refresh_at)
            this->refresh();
        if (this->schedule.empty() || this->schedule.top().at > now) {
            clock::time_point wake = this->refresh_at;
            if (!this->schedule.empty())
                wake = std::min(wake, this->schedule.top().at);
            this->changed.wait_until(lock, wake);
            continue;
        }
        const auto who = this->schedule.top().who;
        this->schedule.pop();
        if (who->gone)
            continue;
        lock.unlock();
        const bool answered = this->poll(*who);
        lock.lock();
        who->failures = answered ? 0 : who->failures + 1;
        this->schedule.push({clock::now() + this->pause(*who), who});
    }
}

// Takes over the newest list. New engines are asked at once, spread over one
// period so that a start doesn't ask all in one moment.
void report_poller::refresh()
{
    const clock::time_point now = clock::now();
    this->refresh_at = now + refresh_period;
    std::map<std::string, std::shared_ptr<target>> kept;
    std::size_t entries = 0;
    for (const membership::listed_instance& line : this->upstreams.listed()) {
        if (line.data_centre != this->options.data_centre)
            continue;
        if (line.type == instance_type::entry) {
            entries += 1;
            continue;
        }
        if (line.state != listed_state::live)
            continue;
        const auto known = this->targets.find(line.name);
        if (known != this->targets.end() &&
            known->second->address == line.address) {
            kept.emplace(line.name, known->second);
            continue;
        }
        const auto fresh = std::make_shared<target>(
            line.name, line.address, this->options.timeout);
        if (!kept.emplace(line.name, fresh).second)
            continue;
        std::uniform_real_distribution<double> part(0, 1);
        const auto wait = this->options.period * part(this->random);
        this->schedule.push(
            {now + std::chrono::duration_cast<clock::duration>(wait), fresh});
    }
    for (const auto& [name, one] : this->targets) {
        const auto still = kept.find(name);
        one->gone = still == kept.end() || still->second != one;
    }
    this->targets = std::move(kept);
    this->sharers = std::max<std::size_t>(entries, 1);
}

report_poller::clock::duration report_poller::pause(const target& one)
{
    std::uniform_real_distribution<double> jitter(jitter_least, jitter_most);
    const double shared = std::max(1.0,
                                   static_cast<double>(this->sharers) /
                                       static_cast<double>(askers_at_full));
    const auto doublings = std::min(one.failures, doublings_max);
    const double factor = shared * static_cast<double>(1U << doublings);
    return std::chrono::duration_cast<clock::duration>(
        this->options.period * (factor * jitter(this->random)));
}

void report_poller::push(delivery::event what)
{
    callers::inbox_item item = std::move(what);
    if (!this->events.push(std::move(item)))
        this->lost += 1;
}

bool report_poller::poll(target& one)
{
    this->polled += 1;
    auto report = one.client.load();
    if (!report) {
        this->failed += 1;
        return false;
    }
    this->push(delivery::upstream_reported{std::move(*report)});
    if (one.turn++ % events_every != 0)
        return true;
    for (const placement::cache_event& event : one.client.cache_events())
        this->push(delivery::upstream_cache_changed{event});
    return true;
}

} // namespace greengagedrum::upstreams
