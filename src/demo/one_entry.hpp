// One greengagedrumd as a process, before one fast stand-in engine under many
// names, in a deployment made up for it: for measuring what the daemon itself
// takes. The platform and the engine run in this process.
#pragma once

#include <load/plan.hpp>
#include <standin/engine.hpp>
#include <standin/platform.hpp>

#include <demo/measured_daemon.hpp>

#include <chrono>
#include <cstddef>
#include <memory>
#include <string>

namespace demo
{

struct one_entry_settings {
    std::string program = "build/greengagedrumd";
    std::size_t upstreams = 1;      // names of the one engine
    std::size_t caller_threads = 0; // 0: the daemon's default
    standin::engine_settings engine;
};

class one_entry
{
public:
    explicit one_entry(const one_entry_settings& settings);

    // Starts all and waits until the entry is ready. Empty, or what is wrong.
    std::string start();

    measured_daemon& entry() { return *this->daemon; }
    std::string engine_address() const { return this->engine.address(); }

    // Requests of the one workspace: idempotent, streamed, not named.
    static load::traffic_class traffic(std::uint32_t prompt_bytes,
                                       std::uint32_t tokens);

    static constexpr const char* model = "compliance";

private:
    void publish();
    bool wait_ready() const;

    one_entry_settings settings;
    standin::platform platform;
    standin::engine engine;
    std::unique_ptr<measured_daemon> daemon; // the first to end
};

} // namespace demo
