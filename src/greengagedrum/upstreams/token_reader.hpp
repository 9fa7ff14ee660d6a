// Reads a model engine's stream of tokens into a partial answer.
//
// Failures guarded against: a stream cut short (it lacks its `done` event, or
// counts fewer tokens than that says), and one resumed at the wrong place
// (indexes that repeat are dropped, a gap makes the stream malformed). Either
// would show as an answer with text missing or doubled.
#pragma once

#include <greengagedrum/http/event_stream.hpp>
#include <greengagedrum/upstreams/call.hpp>

#include <nlohmann/json_fwd.hpp>

namespace greengagedrum::upstreams
{

class token_reader
{
public:
    token_reader(partial_answer& so_far, const token_receiver& on_token);

    // False when the stream can't be read on.
    bool feed(std::string_view bytes);

    bool whole() const { return this->done; }
    bool malformed() const { return this->broken; }

private:
    bool take(const http::server_event& event);
    bool take_json(std::string_view text);
    bool take_end(const nlohmann::json& json);

    partial_answer& so_far;
    const token_receiver& on_token;
    http::event_stream events;
    bool done = false;
    bool broken = false;
};

} // namespace greengagedrum::upstreams
