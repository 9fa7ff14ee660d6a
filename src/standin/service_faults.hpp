// The faults that a stand-in service can be given; one at a time.
#pragma once

#include <nlohmann/json_fwd.hpp>

#include <optional>
#include <variant>

namespace standin
{

// The process is gone as the next call comes, which does not run.
struct die_before_run {
};

// The process is gone after the next call has run, before its reply.
struct die_after_run {
};

// The next call runs, but its connection breaks before the reply; once.
struct lose_reply {
};

// Multiplies the latency.
struct service_slow_down {
    double factor = 1;
};

// Answers 503 to calls, which do not run.
struct refuse_calls {
};

struct service_mend {
};

using service_fault = std::variant<die_before_run,
                                   die_after_run,
                                   lose_reply,
                                   service_slow_down,
                                   refuse_calls,
                                   service_mend>;

// From {"fault": "die_before_run|die_after_run|lose_reply|refuse_calls|mend"}
// or {"fault": "slow_down", "factor": F}. Empty when malformed.
std::optional<service_fault> service_fault_from(const nlohmann::json& json);

} // namespace standin
