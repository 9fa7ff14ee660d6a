// Reads a command's options with popt.
#pragma once

#include <greengagedrum/ctl/command.hpp>

#include <popt.h>
#include <tl/expected.hpp>

#include <cstdlib>
#include <memory>
#include <string>
#include <vector>

namespace greengagedrum::ctl
{

// Owns a string that popt allocated for a POPT_ARG_STRING.
class option_text
{
public:
    option_text() = default;
    ~option_text() { std::free(this->text); }
    option_text(const option_text&) = delete;
    option_text& operator=(const option_text&) = delete;

    char** address() { return &this->text; } // for poptOption::arg
    bool given() const { return this->text != nullptr; }
    std::string value() const { return this->given() ? this->text : ""; }

private:
    char* text = nullptr;
};

struct parsed_options {
    bool help = false;
    std::string help_text;
    std::vector<std::string> operands; // what is no option
};

struct command_usage {
    std::string name;     // "check"
    std::string operands; // "DIR"
};

// `table` is the command's own, without an end mark; `--help` is added. The
// error is a line for the user.
tl::expected<parsed_options, std::string>
parse_options(const command_usage& usage,
              std::span<const poptOption> table,
              arguments given);

} // namespace greengagedrum::ctl
