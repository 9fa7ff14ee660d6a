// HTTP endpoint for operators: lists quarantined requests and releases them.
//
//   GET  /quarantine                 all of them, as JSON
//   POST /quarantine/release/DIGEST  DIGEST as in the log and the list
#pragma once

#include <greengagedrum/entry/request_handler.hpp>
#include <greengagedrum/relay/small_server.hpp>

namespace greengagedrum::entry
{

bool is_quarantine_request(const relay::small_question& request);

relay::small_answer
answer_quarantine_request(shared_state& state,
                          const relay::small_question& request);

} // namespace greengagedrum::entry
