// The thread that holds the documents and puts configuration into force.
//
// Validation of a large set takes milliseconds, so it is kept off the decision
// thread. It does not fetch: sets come from the platform's watch and peers.
#pragma once

#include <greengagedrum/callers/inbox.hpp>
#include <greengagedrum/callers/snapshot_holder.hpp>
#include <greengagedrum/config/store.hpp>
#include <greengagedrum/rings/bounded_queue.hpp>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <utility>

namespace greengagedrum::daemon
{

class config_thread
{
public:
    config_thread(callers::snapshot_holder& in_force, callers::inbox& events);
    ~config_thread();
    config_thread(const config_thread&) = delete;
    config_thread& operator=(const config_thread&) = delete;

    void start();

    // False when the ring is full; the set then comes again with the next
    // watch, since `revision` has not moved.
    bool offer(config::document_set received);

    // Waits until what was offered before is applied; false when it is not
    // within `patience`.
    bool wait_applied(std::chrono::milliseconds patience);

    // All changes up to here are held.
    std::uint64_t revision() const { return this->held; }

    // Versions that were not put into force, since the start.
    std::uint64_t refused() const { return this->refusals_seen; }

    // A reading of the store under its lock.
    template <class Reader>
    auto read(Reader&& reader) const
    {
        const std::lock_guard lock(this->mutex);
        return reader(this->store);
    }

private:
    void run();
    void apply(const config::document_set& received);
    void note_refusals();

    static constexpr std::size_t sets_max = 64;

    callers::snapshot_holder& in_force;
    callers::inbox& events;
    rings::bounded_queue<config::document_set> ring{sets_max};
    mutable std::mutex mutex;
    std::condition_variable was_applied;
    std::uint64_t applied = 0; // sets, under the mutex
    std::atomic<std::uint64_t> offered{0};
    config::store store;
    std::atomic<std::uint64_t> held{0};
    std::atomic<std::uint64_t> refusals_seen{0};
    std::set<std::pair<std::string, std::uint64_t>> known_refusals;
    std::thread thread;
};

} // namespace greengagedrum::daemon
