// The network as peer_protocol uses it. The protocol has no sockets of its own,
// so that tests can run whole fleets in virtual time.
#pragma once

#include <greengagedrum/base/ip_address.hpp>
#include <greengagedrum/base/time.hpp>
#include <greengagedrum/gossip/duty_fitness.hpp>
#include <greengagedrum/gossip/message.hpp>
#include <greengagedrum/relay/http_get.hpp>

#include <functional>
#include <string>
#include <string_view>

namespace greengagedrum::entry
{

struct peer_transport {
    // Sends a datagram; errors are ignored, as datagrams may be lost anyway.
    std::function<void(std::string_view bytes, gossip::ipv4_address to)> send;

    // Calls peer_protocol::on_timer after `after`; replaces an earlier timer.
    std::function<void(base::duration after)> start_timer;

    // HTTP GET on a peer's control address; one at a time.
    std::function<void(const base::ip_endpoint& of,
                       const std::string& target,
                       const relay::answer_limits& limits,
                       relay::http_get::answer on_answer)>
        fetch;

    // The bytes that wait to be sent; empty: not observed.
    std::function<gossip::load_observation()> observe_queues;
};

} // namespace greengagedrum::entry
