// `ggdctl render WORKSPACE --documents DIR`: what each kind of request of a
// workspace comes to, and where each setting came from.
#pragma once

#include <greengagedrum/ctl/command.hpp>

namespace greengagedrum::ctl
{

exit_code run_render(arguments given, const output& to);

} // namespace greengagedrum::ctl
