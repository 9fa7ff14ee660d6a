// Reads the members of one JSON object and notes every fault it meets.
//
// A member with a fault reads as its fallback, so that reading goes on and all
// faults of a document come to light in one pass. `finish` reports the members
// that nothing asked for: a misspelt one must not pass in silence.
#pragma once

#include <greengagedrum/config/fault.hpp>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <string_view>

namespace greengagedrum::config
{

struct integer_bounds {
    std::int64_t min = 0;
    std::int64_t max = 0;
};

struct number_bounds {
    double min = 0;
    double max = 0;
};

inline constexpr std::size_t name_bytes_max = 64;

// Letters, digits, '.', '_' and '-': fit for a path, a log and a metric.
bool is_name(std::string_view text);

class object_reader
{
public:
    object_reader(std::string_view document,
                  std::string_view pointer,
                  const nlohmann::json& value,
                  fault_list& faults);

    // Required members: one that is missing is a fault.
    std::string name(std::string_view member);
    std::int64_t integer(std::string_view member, integer_bounds bounds);
    double number(std::string_view member, number_bounds bounds);
    std::string text(std::string_view member);

    // Optional members.
    std::string name_or(std::string_view member, std::string_view fallback);
    std::int64_t integer_or(std::string_view member,
                            integer_bounds bounds,
                            std::int64_t fallback);
    double
    number_or(std::string_view member, number_bounds bounds, double fallback);
    bool boolean_or(std::string_view member, bool fallback);

    bool has(std::string_view member) const;

    // The member as it is; null when missing. Counts as asked for.
    const nlohmann::json* value(std::string_view member);

    using element = std::function<void(const nlohmann::json& value,
                                       const std::string& pointer)>;
    // Calls `take` for each element of an array, empty when missing.
    void each(std::string_view member, const element& take);

    // Names in an array of strings.
    std::vector<std::string> names(std::string_view member);

    void fail(std::string_view member,
              std::string_view problem,
              std::string_view bound = "");
    std::string pointer_of(std::string_view member) const;

    // Reports the members that were never asked for.
    void finish();

private:
    const nlohmann::json* require(std::string_view member);
    std::int64_t take_integer(std::string_view member,
                              const nlohmann::json& value,
                              integer_bounds bounds);
    double take_number(std::string_view member,
                       const nlohmann::json& value,
                       number_bounds bounds);
    std::string take_name(std::string_view member, const nlohmann::json& value);

    std::string document;
    std::string pointer;
    const nlohmann::json& object;
    fault_list& faults;
    std::set<std::string, std::less<>> asked;
};

// False, with a fault, when `value` lies outside `bounds` or is no integer.
bool check_integer(const nlohmann::json& value,
                   integer_bounds bounds,
                   fault where,
                   fault_list& faults);
// The same for a number; an integer counts as one.
bool check_number(const nlohmann::json& value,
                  number_bounds bounds,
                  fault where,
                  fault_list& faults);

} // namespace greengagedrum::config
