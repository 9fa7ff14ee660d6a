// The command line of ggd-load.
#pragma once

#include <load/overhead.hpp>
#include <load/plan.hpp>

#include <tl/expected.hpp>

#include <cstddef>
#include <string>
#include <vector>

namespace load
{

struct options {
    plan planned;
    std::vector<std::string> entries;
    std::vector<std::string> ledgers;
    std::string run;
    std::size_t repetitions = 1; // each with the next seed
    bool json = false;
    bool measure_direct = false; // then `overhead` holds
    overhead_settings overhead;
};

// An error says what is wrong with the usage. `--help` prints and exits.
tl::expected<options, std::string> read_options(int count,
                                                const char** arguments);

} // namespace load
