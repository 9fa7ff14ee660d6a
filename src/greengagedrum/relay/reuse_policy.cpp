#include <greengagedrum/relay/reuse_policy.hpp>

#include <algorithm>

namespace greengagedrum::relay
{

namespace
{

// The announced timeout is rounded to whole seconds and begins at the upstream,
// before the response arrives here. Half of it leaves 500 ms of the shortest
// one for the latency in both directions and for a late event loop.
constexpr int timeout_divisor = 2;

// A connection not used for this long is unlikely to be used at all and only
// occupies a part of the upstream's limit.
constexpr base::duration keep_most = std::chrono::seconds(2);

// Idle connections may occupy at most one part in this many of the limit.
constexpr std::size_t limit_parts = 4;

constexpr unsigned first_persistent_version = 11;

} // namespace

std::optional<base::duration>
reuse_policy::time_to_keep(const finished_call& call)
{
    const bool framed = call.framing == body_framing::length ||
                        call.framing == body_framing::chunked;
    if (!framed || call.version < first_persistent_version ||
        !call.request_written || call.bytes_follow || !call.own_response ||
        call.closing || call.through_peer)
        return std::nullopt;
    if (!call.idle_timeout || call.idle_timeout->count() <= 0)
        return std::nullopt;
    return std::min(*call.idle_timeout / timeout_divisor, keep_most);
}

bool reuse_policy::may_use_kept(const planned_send& send)
{
    return send.may_send_again && send.first_send && !send.through_peer;
}

bool reuse_policy::limit_allows(std::uint32_t connections_max,
                                std::size_t entries)
{
    return connections_max == 0 || entries * limit_parts <= connections_max;
}

} // namespace greengagedrum::relay
