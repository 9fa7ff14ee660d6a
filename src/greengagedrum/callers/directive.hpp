// What the decision thread tells the thread that serves a caller.
#pragma once

#include <greengagedrum/delivery/messages.hpp>

#include <variant>

namespace greengagedrum::callers
{

using directive = std::variant<delivery::assign_ticket,
                               delivery::start_dispatch,
                               delivery::start_resume,
                               delivery::end_answered,
                               delivery::end_failed>;

} // namespace greengagedrum::callers
