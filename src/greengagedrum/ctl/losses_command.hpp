// `ggdctl losses [--by KEY] [--json] LOG...`: how many requests were answered
// in time, why the others were not, and what the slots of upstreams were spent
// on.
#pragma once

#include <greengagedrum/ctl/command.hpp>

namespace greengagedrum::ctl
{

exit_code run_losses(arguments given, const output& to);

} // namespace greengagedrum::ctl
