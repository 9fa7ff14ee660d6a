// `ggdctl trace ID [FILE...]`: what became of one request, from the log lines
// of any number of entries.
#pragma once

#include <greengagedrum/ctl/command.hpp>

namespace greengagedrum::ctl
{

exit_code run_trace(arguments given, const output& to);

} // namespace greengagedrum::ctl
