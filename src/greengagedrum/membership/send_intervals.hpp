// How often an entry speaks to its peers, so that it keeps to its bytes.
//
// The bound: 350 entries in 17 data centres, 6 KB/s (6,144 B/s) sent by each.
// A data centre has 350 / 17 = 21 entries, so 20 links within; across, two
// pairs for each of 16 other data centres make 32 ends over 21 entries, 1.5
// on average and 6 at the most crowded one (link_choice_test): 26 links.
//
// One idle heartbeat is a frame of 103 B (72 B of payload, 31 B around it, as
// ggd-bench-peers measures); TCP/IP headers add 52 B, and the acknowledgement
// of a heartbeat received costs 52 B sent when no frame takes it along: 207 B
// for each link and turn. At 4,500 B/s for heartbeats, 26 links get a turn each
// 1.2 s; held to 1 s it is 5,382 B/s. What is left, 762 B/s, carries load
// digests within the data centre: 20 links at 200 B each (digest, frame and
// headers) is 4,000 B a turn, so one each 5.2 s. With few links the floors
// rule: heartbeats each 400 ms, digests each 500 ms.
//
// News does not wait for a turn: a leaving flag, a new list or life, a claim
// is sent at once and is rare. It never counts on a silent link being found.
#pragma once

#include <greengagedrum/base/time.hpp>

#include <algorithm>
#include <cstddef>

namespace greengagedrum::membership
{

struct send_intervals {
    base::duration heartbeat;
    base::duration load_digest; // between two load digests
};

inline send_intervals send_intervals_for(std::size_t links,
                                         std::size_t local_links)
{
    constexpr std::size_t heartbeat_bytes = 207; // for a link and turn
    constexpr std::size_t heartbeat_rate = 4500; // bytes a second
    constexpr std::size_t digest_bytes = 200;
    constexpr std::size_t digest_rate = 762;
    constexpr base::duration heartbeat_min(400'000);
    constexpr base::duration heartbeat_max(1'000'000);
    constexpr base::duration digest_min(500'000);
    constexpr base::duration digest_max(6'000'000);
    constexpr std::size_t microseconds_per_second = 1'000'000; // microseconds
    const base::duration heartbeat_interval(
        links * heartbeat_bytes * microseconds_per_second / heartbeat_rate);
    const base::duration digest_interval(local_links * digest_bytes *
                                         microseconds_per_second / digest_rate);
    return {std::clamp(heartbeat_interval, heartbeat_min, heartbeat_max),
            std::clamp(digest_interval, digest_min, digest_max)};
}

} // namespace greengagedrum::membership
