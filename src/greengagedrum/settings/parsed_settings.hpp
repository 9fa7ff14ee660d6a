// The effective value of each setting of a table, and where it came from.
//
// It is what `parse` hands to the owner of a table, who copies the values into
// a struct of his own. It is not meant to be asked on a hot path.
#pragma once

#include <greengagedrum/settings/setting.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace greengagedrum::settings
{

// What the program is to do; all but `run` print something and end.
enum class command : std::uint8_t { run, help, version, print_settings, check };

enum class origin : std::uint8_t { unset, fallback, environment, flag };

std::string_view to_string(origin value);

struct parsed_value {
    const setting* description = nullptr;
    setting_value value;
    origin from = origin::unset;
};

class parsed_settings
{
public:
    // What to do; `help` and `version` hold no values at all.
    command wanted = command::run;
    std::vector<std::string> arguments; // those that are not flags

    void add(parsed_value value) { this->values.push_back(std::move(value)); }

    const std::vector<parsed_value>& all() const { return this->values; }

    // Throws std::out_of_range for a name that is not in the table and
    // std::bad_variant_access for another type: faults of the program.
    template <class Value>
    const Value& get(std::string_view name) const
    {
        return std::get<Value>(this->at(name).value);
    }

    // Empty when nobody gave the setting.
    template <class Value>
    std::optional<Value> find(std::string_view name) const
    {
        if (this->at(name).from == origin::unset)
            return std::nullopt;
        return this->get<Value>(name);
    }

private:
    const parsed_value& at(std::string_view name) const;

    std::vector<parsed_value> values;
};

} // namespace greengagedrum::settings
