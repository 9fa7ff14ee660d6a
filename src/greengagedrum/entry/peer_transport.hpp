// How an entry reaches the others. The decisions of peer_protocol know nothing
// of sockets, so that whole fleets can be played in virtual time.
#pragma once

#include <greengagedrum/base/ip_address.hpp>
#include <greengagedrum/base/time.hpp>
#include <greengagedrum/gossip/message.hpp>
#include <greengagedrum/relay/http_get.hpp>

#include <functional>
#include <string>
#include <string_view>

namespace greengagedrum::entry
{

struct peer_transport {
    // One that can't be sent is lost like any other datagram.
    std::function<void(std::string_view bytes, gossip::ipv4_address to)> send;

    // `on_timer` of the link is due so soon.
    std::function<void(base::duration after)> start_timer;

    // Asks a peer's control address; one question at a time.
    std::function<void(const base::ip_endpoint& of,
                       const std::string& target,
                       base::duration bound,
                       relay::http_get::answer on_answer)>
        fetch;
};

} // namespace greengagedrum::entry
