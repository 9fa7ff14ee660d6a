#include <greengagedrum/daemon/clock.hpp>
#include <greengagedrum/daemon/peer_duty.hpp>
#include <greengagedrum/daemon/platform_watch.hpp>
#include <greengagedrum/delivery/backoff.hpp>
#include <greengagedrum/logs/write.hpp>

#include <utility>

namespace greengagedrum::daemon
{

namespace
{
constexpr std::chrono::milliseconds watch_wait(5000);
constexpr std::chrono::milliseconds no_wait(0);
constexpr delivery::backoff_range service_backoff{
    std::chrono::milliseconds(100), std::chrono::seconds(2)};
constexpr std::chrono::duration<int, std::milli> audit_min(15'000);
constexpr std::chrono::duration<int, std::milli> audit_max(30'000);
} // namespace

platform_watch::platform_watch(const std::vector<std::string>& addresses,
                               peer_duty& list_taker,
                               std::function<bool()> is_watching,
                               std::uint64_t random_seed)
    : instance_service(addresses), peers(list_taker),
      watching(std::move(is_watching)), seed(random_seed)
{
}

platform_watch::~platform_watch()
{
    this->stop();
}

void platform_watch::start()
{
    this->instance_thread = std::thread([this] { this->watch_instances(); });
}

void platform_watch::stop()
{
    this->stopping = true;
    this->instance_service.stop();
    if (this->instance_thread.joinable())
        this->instance_thread.join();
}

std::uint64_t platform_watch::calls() const
{
    return this->instance_service.calls();
}

// Told once for each time that it is down, not for each call.
void platform_watch::note_failure(std::string_view watch,
                                  std::uint32_t in_a_row)
{
    if (this->stopping)
        return;
    this->failed += 1;
    if (in_a_row == 1)
        logs::write(logs::level::warning,
                    "platform",
                    "platform_down",
                    {{"watch", watch}});
}

void platform_watch::note_answer(std::string_view watch,
                                 std::uint32_t failures_before)
{
    if (failures_before > 0)
        logs::write(logs::level::info,
                    "platform",
                    "platform_up",
                    {{"watch", watch}, {"failures", failures_before}});
}

void platform_watch::pause(std::mt19937_64& generator, std::uint32_t failures)
{
    const double random =
        std::uniform_real_distribution<double>(0.0, 1.0)(generator);
    this->pause_for(delivery::backoff(service_backoff, failures, random));
}

void platform_watch::pause_for(base::duration left)
{
    constexpr std::chrono::milliseconds slice(20);
    while (!this->stopping && left > base::duration::zero()) {
        std::this_thread::sleep_for(slice);
        left -= slice;
    }
}

// Ends at once when it becomes our turn to watch, else after a pause of 15 to
// 30 s, drawn anew each time.
void platform_watch::await_turn(std::mt19937_64& generator)
{
    constexpr std::chrono::milliseconds slice(50);
    std::uniform_int_distribution<int> draw(audit_min.count(),
                                            audit_max.count());
    base::duration left = std::chrono::milliseconds(draw(generator));
    while (!this->stopping && !this->watching() &&
           left > base::duration::zero()) {
        std::this_thread::sleep_for(slice);
        left -= slice;
    }
}

// Pauses after an answer without news. Failure guarded against: a service that
// has nothing yet answers at once, and the next call would follow at once,
// thousands a second.
void platform_watch::watch_instances()
{
    std::mt19937_64 generator(this->seed + 1);
    std::uint32_t failures = 0;
    std::uint64_t since = 0;
    while (!this->stopping) {
        if (since > 0)
            this->await_turn(generator);
        const base::instant asked = clock_now();
        const auto wait = this->watching() ? watch_wait : no_wait;
        auto received = this->instance_service.instances(since, wait);
        if (!received) {
            this->note_failure("instances", ++failures);
            this->pause(generator, failures);
            continue;
        }
        this->note_answer("instances", std::exchange(failures, 0));
        this->peers.platform_answered(asked,
                                      this->peers.is_named_by(*received));
        if (received->revision == since) {
            this->pause(generator, 1);
            continue;
        }
        since = received->revision;
        this->peers.offer_list(std::move(*received));
    }
}

} // namespace greengagedrum::daemon
