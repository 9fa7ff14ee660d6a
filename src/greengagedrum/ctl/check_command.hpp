// `ggdctl check DIR`: are these documents fit to be published?
#pragma once

#include <greengagedrum/ctl/command.hpp>

namespace greengagedrum::ctl
{

exit_code run_check(arguments given, const output& to);

} // namespace greengagedrum::ctl
