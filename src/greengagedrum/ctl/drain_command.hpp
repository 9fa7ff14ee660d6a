// `ggdctl drain ADMIN_ADDRESS`: a daemon is to finish its work and end.
#pragma once

#include <greengagedrum/ctl/command.hpp>

namespace greengagedrum::ctl
{

exit_code run_drain(arguments given, const output& to);

} // namespace greengagedrum::ctl
