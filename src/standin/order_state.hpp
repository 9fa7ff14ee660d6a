// What an engine was ordered to be: role, version, models, and by which
// fencing number. A model takes time to load and is served only then.
#pragma once

#include <standin/engine_settings.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace standin
{

struct engine_order {
    std::uint64_t fence = 0;
    std::optional<std::string> role; // members left out stay as they are
    std::optional<std::vector<std::string>> models;
    std::optional<std::string> version;
};

class order_state
{
public:
    using instant = greengagedrum::base::instant;

    explicit order_state(const engine_settings& settings);

    // False, and nothing done, for a fencing number below the last obeyed one
    // when this engine checks it.
    bool obey(const engine_order& order, instant now);

    bool serves(const std::string& model, instant now) const;
    std::vector<std::string> models(instant now) const;

    const std::string& role() const { return this->current_role; }
    const std::string& version() const { return this->current_version; }
    std::uint64_t fence() const { return this->last_fence; }

private:
    bool checks_fencing;
    greengagedrum::base::duration load_time;
    std::map<std::string, instant> ready_at; // by model
    std::string current_role;
    std::string current_version;
    std::uint64_t last_fence = 0;
};

} // namespace standin
