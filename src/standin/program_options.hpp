// The command line of `ggd-standin`.
#pragma once

#include <standin/engine_settings.hpp>
#include <standin/platform.hpp>
#include <standin/service.hpp>

#include <tl/expected.hpp>

#include <cstdint>
#include <string>

namespace standin
{

enum class program_type : std::uint8_t { platform, engine, service };

struct program_options {
    program_type type = program_type::engine;
    std::string address;   // "IP:port" to bind; port 0 for any free one
    std::string documents; // folder for the platform; may be empty
    engine_settings engine;
    service_settings service;
    platform_settings platform;
};

// The error names the flag, the value and its bound. --help prints the flags
// and ends the process.
tl::expected<program_options, std::string>
parse_program_options(int argc, const char** argv);

} // namespace standin
