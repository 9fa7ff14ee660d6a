// Decides whether the connection of a finished call may be kept for another
// request, for how long, and which sends may use a kept one.
//
// Failure guarded against: a kept connection may end, or deliver a late second
// response, after a request was written to it. Whether that request ran is then
// unknown, so only requests that may be repeated use kept connections, and each
// for its first send only.
#pragma once

#include <greengagedrum/base/time.hpp>
#include <greengagedrum/relay/message_reader.hpp>

#include <cstdint>
#include <optional>

namespace greengagedrum::relay
{

// What is known of a call whose response is complete.
struct finished_call {
    body_framing framing = body_framing::none;
    unsigned version = 11;
    bool request_written = false; // every byte, body included
    bool bytes_follow = false;    // received after the response
    bool own_response = false;    // it carries the request's attempt id
    bool closing = false;         // the upstream announces that it closes
    bool through_peer = false;
    // After which the upstream closes the connection; empty: not announced.
    std::optional<base::duration> idle_timeout;
};

struct planned_send {
    // The request may run more than once, and another send of it is allowed.
    bool may_send_again = false;
    bool first_send = false; // no earlier send of it was tried
    bool through_peer = false;
};

class reuse_policy
{
public:
    // How long the connection may be kept; empty: it must be closed.
    static std::optional<base::duration>
    time_to_keep(const finished_call& call);

    static bool may_use_kept(const planned_send& send);

    // Whether idle connections of all entries leave enough of an upstream's
    // limit for requests. `connections_max` 0: no limit.
    static bool limit_allows(std::uint32_t connections_max,
                             std::size_t entries);
};

} // namespace greengagedrum::relay
