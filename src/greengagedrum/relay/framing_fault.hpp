// Heads that leave open where their message ends.
#pragma once

#include <greengagedrum/relay/message_head.hpp>

namespace greengagedrum::relay
{

// Empty when the framing can be read in one way only.
std::string framing_fault(const request_head& head);
std::string framing_fault(const answer_head& head);

} // namespace greengagedrum::relay
