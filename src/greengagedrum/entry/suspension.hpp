// How long the machine has been suspended in all.
#pragma once

#include <greengagedrum/base/time.hpp>

namespace greengagedrum::entry
{

// Counted from some fixed point; only differences mean anything. The loop's
// clock stands still meanwhile, so it can't tell by itself.
base::duration suspended_time();

} // namespace greengagedrum::entry
