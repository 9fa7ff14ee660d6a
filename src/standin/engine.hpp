// A stand-in model engine: continuous batching behind the engines' HTTP
// interface, with a ledger of what it ran and faults to order. It makes up its
// text (token_text.hpp) and holds no model. For tests, the demo and
// `ggd-standin`.
#pragma once

#include <greengagedrum/http/server.hpp>
#include <standin/engine_core.hpp>
#include <standin/engine_settings.hpp>

#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace standin
{

class engine
{
public:
    explicit engine(const engine_settings& settings = {});
    engine(const engine&) = delete;
    engine& operator=(const engine&) = delete;
    ~engine(); // kill()s what still runs

    // Serves on "IP:port"; false when it can't be bound. Once only.
    bool start(std::string_view address = "127.0.0.1:0");

    std::string address() const { return this->server.address(); }

    // Ends; readers of open streams are cut. Idempotent.
    void stop() { this->kill(); }

    // The end of a process: every connection breaks and nothing runs on. The
    // ledger can still be read here.
    void kill();

    // False after a fault has ended it.
    bool alive() { return !this->core.dying() && !this->core.closed(); }

    void inject(const engine_fault& fault) { this->core.inject(fault); }
    std::vector<ledger_run> ledger() { return this->core.ledger(); }

private:
    void step_on();

    engine_core core;
    greengagedrum::http::server server;
    std::thread stepping;
};

} // namespace standin
