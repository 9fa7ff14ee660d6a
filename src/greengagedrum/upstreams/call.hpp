// One exchange with an upstream: handing a request over, or reading its stream
// on, from the first byte to the last.
#pragma once

#include <greengagedrum/base/ids.hpp>
#include <greengagedrum/delivery/messages.hpp>

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <variant>

namespace greengagedrum::upstreams
{

class connection_pool;
class running_call;

// A request as an upstream gets it.
struct call_target {
    std::string address; // "IP:port"
    std::string path;    // of a plain service; empty for a model engine
    std::string model;   // of a model engine
};

// Which dispatch, and which of its request's connections.
struct call_key {
    base::dispatch_id dispatch;
    std::uint32_t connection = 0;
};

// What has come of an answer so far, over all its connections.
struct partial_answer {
    std::string text; // of a model, or a service's whole reply
    std::uint32_t tokens = 0;
    std::uint32_t cached_tokens = 0;
    std::string content_type;
};

// Told for each token; `index` counts from 0.
using token_receiver =
    std::function<void(std::uint32_t index, std::string_view text)>;

// How an exchange ended.
struct call_whole {
};
struct call_not_connected {
}; // no byte of the request was written
struct call_broken {
    delivery::break_cause cause;
};
using call_end = std::variant<call_whole, call_not_connected, call_broken>;

// The stream's name at the upstream: the dispatch in hexadecimal.
std::string stream_name(base::dispatch_id dispatch);

// Hands the request over. `body` is the upstream's own JSON.
call_end hand_over(connection_pool& pool,
                   running_call& running,
                   const call_target& target,
                   const call_key& key,
                   std::string_view body,
                   partial_answer& so_far,
                   const token_receiver& on_token);

// Reads a model's stream on, from `so_far.tokens`, over a new connection.
call_end read_on(connection_pool& pool,
                 running_call& running,
                 const call_target& target,
                 const call_key& key,
                 partial_answer& so_far,
                 const token_receiver& on_token);

// Tells a model engine to end the stream. Its failure is of no consequence:
// the stream then ends by itself.
void cancel(connection_pool& pool,
            const call_target& target,
            base::dispatch_id dispatch);

} // namespace greengagedrum::upstreams
