// Entries reduced to their peer duty, over loopback in one process.
#pragma once

#include <greengagedrum/daemon/clock.hpp>
#include <greengagedrum/daemon/config_thread.hpp>
#include <greengagedrum/daemon/peer_duty.hpp>

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace greengagedrum::daemon
{

// One entry's duty with the threads it talks to; the test is its decision
// thread.
struct test_entry {
    std::string slot;
    std::string where;
    callers::inbox events{4096};
    callers::snapshot_holder in_force;
    config_thread documents{in_force, events};
    std::vector<delivery::event> seen;
    std::unique_ptr<peer_duty> duty;

    test_entry(const std::string& name,
               const std::string& data_centre,
               std::uint64_t life = 1)
        : slot(name), where(data_centre)
    {
        peer_duty_options options;
        options.roster.slot = base::slot_id(name);
        options.roster.incarnation = base::incarnation{life};
        options.roster.data_centre = base::data_centre_id(data_centre);
        // A busy machine may stop this process for a while.
        options.roster.lease = std::chrono::seconds(30);
        options.address = "127.0.0.1:0";
        options.key = "a key of 16 bytes";
        options.seed = life;
        this->documents.start();
        this->duty =
            std::make_unique<peer_duty>(options, this->events, this->documents);
        REQUIRE(this->duty->start());
    }

    ~test_entry() { this->duty->stop(); }

    membership::listed_instance line() const
    {
        return {this->slot,
                membership::instance_type::entry,
                this->where,
                this->duty->address(),
                membership::listed_state::live};
    }

    void look()
    {
        std::vector<callers::inbox_item> items;
        this->events.drain(items, std::chrono::milliseconds(0));
        for (callers::inbox_item& item : items)
            if (auto* what = std::get_if<delivery::event>(&item))
                this->seen.push_back(std::move(*what));
    }

    // Whether an event of this type came that `fits`.
    template <class Event>
    bool saw(const std::function<bool(const Event&)>& fits)
    {
        this->look();
        return std::any_of(
            this->seen.begin(), this->seen.end(), [&fits](const auto& one) {
                const auto* what = std::get_if<Event>(&one);
                return what != nullptr && fits(*what);
            });
    }

    bool heard(const test_entry& other)
    {
        return this->saw<delivery::peer_heartbeat>([&](const auto& what) {
            return what.beat.slot == base::slot_id(other.slot);
        });
    }
};

inline bool until(const std::function<bool()>& done)
{
    constexpr std::chrono::seconds patience(30);
    constexpr std::chrono::milliseconds pause(5);
    const auto end = std::chrono::steady_clock::now() + patience;
    while (!done()) {
        if (std::chrono::steady_clock::now() > end)
            return false;
        std::this_thread::sleep_for(pause);
    }
    return true;
}

inline membership::instance_list
list_of(std::uint64_t revision, const std::vector<const test_entry*>& entries)
{
    membership::instance_list out;
    out.revision = revision;
    for (const test_entry* entry : entries)
        out.instances.push_back(entry->line());
    return out;
}

} // namespace greengagedrum::daemon
