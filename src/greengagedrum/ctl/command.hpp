// The commands of `ggdctl`.
//
// Each command is one file with one function; a new one adds its line to the
// table in command.cpp.
#pragma once

#include <cstdint>
#include <iosfwd>
#include <span>
#include <string>
#include <string_view>

namespace greengagedrum::ctl
{

// What the program tells the shell, and so a CI.
enum class exit_code : std::uint8_t {
    good = 0,
    faults = 1, // the command ran, and what it looked at is not right
    usage = 2,  // wrong arguments, or nothing there to look at
};

// How far JSON that people read is indented.
inline constexpr int json_indent = 2;

// Where a command writes. Tests give string streams.
struct output {
    std::ostream& out;
    std::ostream& err;
};

// The command's own arguments, without the program's and the command's name.
using arguments = std::span<const std::string>;

struct command {
    std::string_view name;
    std::string_view summary;
    exit_code (*run)(arguments given, const output& to);
};

std::span<const command> all_commands();

// Runs the command that the first argument names.
exit_code run(arguments given, const output& to);

} // namespace greengagedrum::ctl
