// The state of one replay: the core, its upstreams' stated behaviour, and
// what was found so far. One use: lines in, in order, then `finish`.
#pragma once

#include <greengagedrum/delivery/scheduler.hpp>
#include <greengagedrum/trace/ledger.hpp>
#include <greengagedrum/trace/reactions.hpp>
#include <greengagedrum/trace/replay.hpp>

#include <nlohmann/json.hpp>

#include <deque>
#include <optional>
#include <string>
#include <string_view>

namespace greengagedrum::trace
{

class player
{
public:
    // False when it found a difference; no line is taken after that.
    bool take(std::string_view line);
    replay_result finish();

private:
    using fault = std::optional<std::string>;

    fault take_line(const nlohmann::json& line);
    fault take_header(const nlohmann::json& line);
    fault take_event(const nlohmann::json& line);
    fault take_action(const nlohmann::json& line);
    fault take_expect(const nlohmann::json& line);
    fault take_react(const nlohmann::json& line);
    fault advance_to(const nlohmann::json& line);
    fault pass_until(base::instant until);
    fault step(const delivery::event& what);
    fault no_action_left() const;
    fault resolve(const nlohmann::json& line, delivery::event& what) const;

    std::optional<delivery::scheduler> core;
    bool recorded = true; // until the first hand-written line
    base::instant now;
    ledger found;
    reactions upstreams;
    std::vector<delivery::action> actions;
    std::deque<delivery::action> untold; // of a recording's last event
    std::size_t line_number = 0;
    bool promise_broken = false;
    replay_result result;
};

} // namespace greengagedrum::trace
