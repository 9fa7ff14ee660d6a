// `ggdctl explain WORKSPACE KIND --documents DIR [--admin ADDRESS]`: where a
// kind of request may go and why.
#pragma once

#include <greengagedrum/ctl/command.hpp>

namespace greengagedrum::ctl
{

exit_code run_explain(arguments given, const output& to);

} // namespace greengagedrum::ctl
