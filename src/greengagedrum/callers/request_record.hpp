// Measures one request as its caller meets it, and tells its end once: to
// telemetry, and as a line of the log.
//
// Names come from the published documents; nothing that the caller sent is
// kept. It belongs to the thread that serves the caller.
#pragma once

#include <greengagedrum/base/verdict.hpp>
#include <greengagedrum/telemetry/messages.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

namespace greengagedrum::telemetry
{
class collector;
}

namespace greengagedrum::callers
{

struct caller_request;

class request_record
{
public:
    explicit request_record(const caller_request& asked);

    void dispatched(); // the first counts
    void token();

    // `tokens` of the whole answer. Later calls do nothing.
    void answered(telemetry::collector& to, std::uint64_t tokens);
    void failed(telemetry::collector& to, const base::verdict& verdict);

private:
    using clock = std::chrono::steady_clock;

    base::duration since_start() const;
    void tell(telemetry::collector& to);
    void log() const;

    telemetry::request_ended end;
    std::uint64_t request = 0;
    base::duration deadline;
    clock::time_point start = clock::now();
    std::optional<clock::time_point> last_token;
    bool told = false;
};

} // namespace greengagedrum::callers
