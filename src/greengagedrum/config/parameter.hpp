// A typed parameter of a template, and the values that it may take.
#pragma once

#include <greengagedrum/config/fault.hpp>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace greengagedrum::config
{

struct integer_parameter {
    std::int64_t min = 0;
    std::int64_t max = 0;
};

struct number_parameter {
    double min = 0;
    double max = 0;
};

struct boolean_parameter {
};

struct string_parameter {
    std::vector<std::string> values;
};

struct parameter {
    std::string name;
    std::variant<integer_parameter,
                 number_parameter,
                 boolean_parameter,
                 string_parameter>
        type;
    nlohmann::json fallback; // its "default"
};

// The parameter that `value` declares, with its faults.
parameter parse_parameter(std::string_view document,
                          std::string_view pointer,
                          const nlohmann::json& value,
                          fault_list& faults);

// False, with a fault at `where`, when the parameter may not take `value`.
bool check_value(const parameter& declared,
                 const nlohmann::json& value,
                 const fault& where,
                 fault_list& faults);

// The values at its bounds (all, for a string or boolean).
std::vector<nlohmann::json> extremes(const parameter& declared);

} // namespace greengagedrum::config
