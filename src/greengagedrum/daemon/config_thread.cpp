#include <greengagedrum/daemon/config_thread.hpp>
#include <greengagedrum/logs/write.hpp>

namespace greengagedrum::daemon
{

config_thread::config_thread(callers::snapshot_holder& holder,
                             callers::inbox& inbox)
    : in_force(holder), events(inbox)
{
}

config_thread::~config_thread()
{
    this->ring.close();
    if (this->thread.joinable())
        this->thread.join();
}

void config_thread::start()
{
    this->thread = std::thread([this] { this->run(); });
}

bool config_thread::offer(config::document_set received)
{
    const bool taken = this->ring.push(std::move(received));
    if (taken)
        this->offered += 1;
    return taken;
}

bool config_thread::wait_applied(std::chrono::milliseconds patience)
{
    const std::uint64_t wanted = this->offered;
    std::unique_lock lock(this->mutex);
    return this->was_applied.wait_for(
        lock, patience, [&] { return this->applied >= wanted; });
}

// Told once for each refused version, however often the set comes.
void config_thread::note_refusals()
{
    std::set<std::pair<std::string, std::uint64_t>> now;
    for (const config::refusal& one : this->store.refusals()) {
        const auto key = std::pair(one.document, one.revision);
        now.insert(key);
        if (this->known_refusals.contains(key) || one.faults.empty())
            continue;
        this->refusals_seen += 1;
        logs::write(logs::level::error,
                    "config",
                    "config_refused",
                    {{"document", one.document},
                     {"revision", one.revision},
                     {"pointer", one.faults.front().pointer},
                     {"problem", one.faults.front().problem},
                     {"faults", one.faults.size()}});
    }
    this->known_refusals = std::move(now);
}

void config_thread::run()
{
    constexpr std::chrono::seconds patience(1);
    std::vector<config::document_set> sets;
    while (this->ring.drain(sets, patience)) {
        for (const config::document_set& received : sets) {
            this->apply(received);
            const std::lock_guard lock(this->mutex);
            this->applied += 1;
            this->was_applied.notify_all();
        }
        sets.clear();
    }
}

void config_thread::apply(const config::document_set& received)
{
    config::snapshot_ptr next;
    {
        const std::lock_guard lock(this->mutex);
        const config::changes result = this->store.apply(received);
        this->held = this->store.revision();
        this->note_refusals();
        if (!result.in_force)
            return;
        next = this->store.current();
    }
    this->in_force.set(next);
    logs::write(
        logs::level::info,
        "config",
        "config_in_force",
        {{"revision", next->rev}, {"workspaces", next->workspaces.size()}});
    callers::push_surely(this->events, delivery::config_changed{next});
}

} // namespace greengagedrum::daemon
