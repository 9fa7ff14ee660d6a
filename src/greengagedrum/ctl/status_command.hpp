// `ggdctl status ADMIN_ADDRESS...`: several daemons in one table, with those
// marked that don't follow the newest configuration or instance list.
#pragma once

#include <greengagedrum/ctl/command.hpp>

namespace greengagedrum::ctl
{

exit_code run_status(arguments given, const output& to);

} // namespace greengagedrum::ctl
