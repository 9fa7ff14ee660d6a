// The faults that a stand-in engine can be given. They add up until `mend`.
#pragma once

#include <greengagedrum/base/time.hpp>

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace standin
{

// Divides every speed; the load report does not show it.
struct slow_down {
    double factor = 1;
};

// Answers 503 to every new request except /ledger and /faults.
struct refuse_requests {
};

// Streams that are open now get no further byte, their connections stay open
// and the runs go on; new connections work.
struct go_silent {
};

// The process is gone once so many tokens were to be written from now on;
// with zero it dies in place of the next token.
struct die_after_tokens {
    std::uint64_t tokens = 0;
};

// The process is gone in place of the first token of an answer to a prompt that
// has this text in it, whatever else it has.
struct die_on_prompt {
    std::string text;
};

// Nothing moves for a time: no step, no byte, no answer.
struct freeze {
    greengagedrum::base::duration length{};
};

// Connections of streams that are open now break; the runs go on.
struct close_streams {
};

// The next event written is cut in its middle and its connection closed.
struct truncate_event {
};

// Back to normal speed and to taking requests.
struct mend {
};

using engine_fault = std::variant<slow_down,
                                  refuse_requests,
                                  go_silent,
                                  die_after_tokens,
                                  die_on_prompt,
                                  freeze,
                                  close_streams,
                                  truncate_event,
                                  mend>;

// From {"fault": "slow_down", "factor": 4}; the other members are `tokens`
// for die_after_tokens, `text` for die_on_prompt and `ms` for freeze. Empty
// when malformed.
std::optional<engine_fault> engine_fault_from(const nlohmann::json& json);

} // namespace standin
