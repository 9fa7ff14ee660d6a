// One flag of a command line whose value is a bounded number.
#pragma once

#include <functional>
#include <optional>
#include <string>

namespace standin
{

struct number_flag {
    const char* name; // without the dashes
    const char* help;
    double min;
    double max;
    std::function<void(double)> store;
    bool whole = true; // refuses a fraction
};

// Stores the number, or says what is wrong: flag, value and bounds.
std::optional<std::string> take_number(const number_flag& flag,
                                       const std::string& text);

} // namespace standin
