// Asks an engine directly, without an entry between.
#pragma once

#include <load/answer.hpp>
#include <load/question.hpp>

#include <chrono>
#include <memory>
#include <string>
#include <string_view>

namespace httplib
{
class Client;
} // namespace httplib

namespace load
{

// The other side of the overhead measurement: the same prompt, sent as an
// entry would send it. Not for load: an engine knows no verdicts.
class engine_caller
{
public:
    engine_caller(const std::string& address, std::string_view model);
    ~engine_caller();
    engine_caller(const engine_caller&) = delete;
    engine_caller& operator=(const engine_caller&) = delete;

    // `answered` when the engine's closing event came; else `lost` or
    // `unreachable`. The question's key is the stream's id.
    answer ask(const question& asked, std::chrono::milliseconds longest);

private:
    std::unique_ptr<httplib::Client> client;
    std::string model;
};

} // namespace load
