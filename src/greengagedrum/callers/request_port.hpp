// The two ends of one request: its caller's thread waits here for directives,
// the decision thread gives them and can break the upstream connection that
// the other is reading.
#pragma once

#include <greengagedrum/callers/directive.hpp>
#include <greengagedrum/rings/bounded_queue.hpp>
#include <greengagedrum/upstreams/running_call.hpp>

#include <optional>
#include <vector>

namespace greengagedrum::callers
{

class request_port
{
public:
    // Decision thread. False when the caller's thread is many directives
    // behind, which its bounded number of tries rules out.
    bool give(directive what);

    // Caller's thread: the next directive, or none after `patience`.
    std::optional<directive> wait(std::chrono::milliseconds patience);

    upstreams::running_call& call() { return this->running; }

private:
    static constexpr std::size_t directives_max = 32;

    rings::bounded_queue<directive> ring{directives_max};
    std::vector<directive> taken; // of the caller's thread
    upstreams::running_call running;
};

} // namespace greengagedrum::callers
