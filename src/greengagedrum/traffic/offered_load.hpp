// How many slots the requests that arrive would occupy, by priority, if all of
// them were served.
//
// What it leaves of the slots is the room in which a backlog can drain.
#pragma once

#include <greengagedrum/base/time.hpp>
#include <greengagedrum/traffic/decaying_count.hpp>
#include <greengagedrum/traffic/priority_level.hpp>

#include <array>
#include <optional>

namespace greengagedrum::traffic
{

class offered_load
{
public:
    explicit offered_load(double memory);

    // A request of that level arrived, of a kind that holds its slot that long.
    void add(std::size_t level, double hold_seconds, base::instant now);

    // Mean number of slots for requests of that level and more urgent ones.
    double slots_through(std::size_t level, base::instant now) const;

private:
    double memory; // seconds
    std::array<decaying_count, priority_levels> work;
    std::optional<base::instant> first_arrival;
};

} // namespace greengagedrum::traffic
