// Total time that the machine has been suspended.
#pragma once

#include <greengagedrum/base/time.hpp>

namespace greengagedrum::entry
{

// Counted from an arbitrary point, so only differences are meaningful. The
// loop's clock stops during a suspension and can't detect it.
base::duration suspended_time();

} // namespace greengagedrum::entry
