// The description of one setting of a program, and of a program's whole table.
//
// A table is plain data: the parser, the help text and the operators' page all
// come from it. It says what a single value may be; relations between settings
// are checked by whoever owns the table.
#pragma once

#include <greengagedrum/base/ip_address.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace greengagedrum::settings
{

// True when the flag is given (it takes no argument); as an environment
// variable it reads "true" or "false".
struct switch_type {
};

struct integer_type {
    std::int64_t min = 0;
    std::int64_t max = 0;
};

// Whole milliseconds.
struct duration_type {
    std::chrono::milliseconds min{0};
    std::chrono::milliseconds max{0};
};

struct ip_address_type {
};

struct ip_port_type {
};

// Comma-separated.
struct ip_port_list_type {
    std::size_t max_count = 0;
};

// `characters` is what each character may be, beside letters and digits.
struct name_type {
    std::string_view characters;
    std::size_t max_length = 0;
};

// Any printable ASCII text, its length in bytes.
struct text_type {
    std::size_t min_length = 0;
    std::size_t max_length = 0;
};

struct choice_type {
    std::vector<std::string_view> values;
};

using setting_type = std::variant<switch_type,
                                  integer_type,
                                  duration_type,
                                  ip_address_type,
                                  ip_port_type,
                                  ip_port_list_type,
                                  name_type,
                                  text_type,
                                  choice_type>;

// `monostate` is an optional setting that nobody gave. Addresses, names, texts
// and choices are strings.
using setting_value = std::variant<std::monostate,
                                   bool,
                                   std::int64_t,
                                   std::chrono::milliseconds,
                                   base::ip_endpoint,
                                   std::vector<base::ip_endpoint>,
                                   std::string>;

struct setting {
    std::string_view name; // "listen-address": the flag without its dashes
    std::string_view help;
    setting_type type;
    std::optional<std::string_view> fallback; // the default, as text
    bool required = false;                    // a fault when nobody gives it
    bool secret = false; // never printed, not even in a fault
};

struct setting_table {
    std::string_view program;
    std::string_view version;
    std::string_view summary;
    std::string_view variable_prefix; // "GREENGAGEDRUM_"
    std::span<const setting> settings;
    std::string_view arguments = {}; // for the help; empty: none are taken
};

// "GREENGAGEDRUM_LISTEN_ADDRESS" for "listen-address".
std::string variable_name(std::string_view prefix, std::string_view name);

// What the type takes, in words: "an integer, 1 to 100".
std::string bounds_text(const setting_type& type);

} // namespace greengagedrum::settings
