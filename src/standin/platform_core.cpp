#include <standin/platform_core.hpp>

#include <algorithm>
#include <thread>
#include <utility>

namespace standin
{

platform_core::instant platform_core::now() const
{
    return instant(std::chrono::duration_cast<duration>(
        std::chrono::steady_clock::now() - this->started));
}

void platform_core::put_document(const std::string& name, nlohmann::json body)
{
    const std::lock_guard lock(this->mutex);
    this->store.put(name, std::move(body));
    this->changed.notify_all();
}

void platform_core::erase_document(const std::string& name)
{
    const std::lock_guard lock(this->mutex);
    this->store.erase(name);
    this->changed.notify_all();
}

void platform_core::put_instance(const listed_instance& instance)
{
    const std::lock_guard lock(this->mutex);
    this->history.put(instance, this->now());
    this->changed.notify_all();
}

bool platform_core::erase_instance(const std::string& name)
{
    const std::lock_guard lock(this->mutex);
    this->changed.notify_all();
    return this->history.erase(name, this->now());
}

bool platform_core::count_call()
{
    const std::lock_guard lock(this->mutex);
    const auto second = std::chrono::duration_cast<std::chrono::seconds>(
        this->now().time_since_epoch());
    if (second != this->window)
        this->in_window = 0;
    this->window = second;
    ++this->in_window;
    const bool taken =
        this->calls_max == 0 || this->in_window <= this->calls_max;
    ++(taken ? this->counts.taken : this->counts.refused);
    return taken;
}

call_counts platform_core::calls()
{
    const std::lock_guard lock(this->mutex);
    return this->counts;
}

std::uint64_t platform_core::document_horizon() const
{
    return std::min(this->horizon, this->store.revision());
}

// Looks again now and then, too: a lagging list changes without an event.
template <class Condition>
bool platform_core::wait(milliseconds patience, Condition condition)
{
    constexpr milliseconds pause{25};
    std::unique_lock lock(this->mutex);
    if (this->delay.count() > 0)
        this->changed.wait_for(
            lock, this->delay, [this] { return !this->answers(); });
    const auto end = std::chrono::steady_clock::now() + patience;
    while (this->answers() && !condition() &&
           std::chrono::steady_clock::now() < end)
        this->changed.wait_for(lock, pause);
    return this->answers();
}

std::optional<document_answer> platform_core::documents(std::uint64_t since,
                                                        milliseconds patience)
{
    const bool answers = this->wait(patience, [this, since] {
        return since == 0 || this->document_horizon() > since;
    });
    if (!answers)
        return std::nullopt;
    const std::lock_guard lock(this->mutex);
    const std::uint64_t last = this->document_horizon();
    return document_answer{last, this->store.changes(since, last)};
}

std::optional<instance_list> platform_core::instances(std::uint64_t since,
                                                      milliseconds patience)
{
    const auto seen = [this] {
        return this->history.seen(this->now() - this->list_lag);
    };
    const bool answers = this->wait(patience, [&seen, since] {
        return since == 0 || seen().revision > since;
    });
    if (!answers)
        return std::nullopt;
    const std::lock_guard lock(this->mutex);
    return seen();
}

void platform_core::inject(const platform_fault& fault)
{
    const std::lock_guard lock(this->mutex);
    std::visit([this](const auto& one) { this->apply(one); }, fault);
    this->changed.notify_all();
}

void platform_core::close()
{
    const std::lock_guard lock(this->mutex);
    this->ended = true;
    this->changed.notify_all();
}

void platform_core::apply(const platform_down&)
{
    this->down = true;
}

void platform_core::apply(const platform_stale& fault)
{
    this->horizon = fault.revision;
}

void platform_core::apply(const platform_delay& fault)
{
    this->delay = fault.length;
}

void platform_core::apply(const platform_list_lag& fault)
{
    this->list_lag = fault.length;
}

void platform_core::apply(const platform_mend&)
{
    this->down = false;
    this->horizon = document_store::newest;
    this->delay = {};
    this->list_lag = {};
}

} // namespace standin
