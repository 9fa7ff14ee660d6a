// The platform's list of live and leaving instances. Readers see it as it was
// `lag` ago. Takes no lock, reads no clock.
#pragma once

#include <greengagedrum/base/time.hpp>

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace standin
{

struct listed_instance {
    std::string name;
    std::string type = "entry"; // or "upstream"
    std::string data_centre;
    std::string address;        // "IP:port"
    std::string state = "live"; // or "leaving"
};

nlohmann::json instance_json(const listed_instance& instance);

// Empty when a member is missing, of another type or not one of its values.
std::optional<listed_instance> instance_from(const std::string& name,
                                             const nlohmann::json& json);

struct instance_list {
    std::uint64_t revision = 0;
    greengagedrum::base::instant changed;
    std::vector<listed_instance> instances;
};

class instance_history
{
public:
    using instant = greengagedrum::base::instant;

    instance_history() : lists(1) {}

    void put(const listed_instance& instance, instant now);

    // False when there is none of that name.
    bool erase(const std::string& name, instant now);

    // The newest list that had been made by `at`, else the oldest kept.
    const instance_list& seen(instant at) const;

private:
    instance_list next(instant now) const;
    void add(instance_list list);

    std::deque<instance_list> lists; // at least one
};

} // namespace standin
