// The ring into the decision thread.
//
// Callers' threads, peers and the platform's watch push; the decision thread
// alone takes out.
#pragma once

#include <greengagedrum/delivery/messages.hpp>
#include <greengagedrum/rings/bounded_queue.hpp>

#include <memory>
#include <variant>

namespace greengagedrum::callers
{

class request_port;

// A request with the port on which its thread waits.
struct arrival {
    delivery::request_arrived what;
    std::shared_ptr<request_port> port;
};

// The same for a caller that wants a ticket and no more.
struct ticket_arrival {
    delivery::ticket_wanted what;
    std::shared_ptr<request_port> port;
};

using inbox_item = std::variant<delivery::event, arrival, ticket_arrival>;
using inbox = rings::bounded_queue<inbox_item>;

// Pushes what must not be lost: waits while the ring is full. The decision
// thread never waits on its producers, so room comes. False once closed.
bool push_surely(inbox& ring, delivery::event what);

} // namespace greengagedrum::callers
