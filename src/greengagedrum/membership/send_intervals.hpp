// How often an entry sends heartbeats and load digests to its peers, so that
// its peer traffic stays within a byte budget.
//
// The budget: each of 350 entries in 17 data centres sends at most 6 KB/s
// (6,144 B/s). A data centre has 350 / 17 = 21 entries, so an entry has 20
// links within its own. Two links to each of the 16 other data centres make 32
// link ends for 21 entries: 1.5 on average and 6 at the entry that has the most
// (link_choice_test), which makes 26 links in all.
//
// An idle heartbeat is a frame of 103 B (72 B of payload, 31 B of framing, see
// ggd-bench-peers). TCP/IP headers add 52 B, and acknowledging a received
// heartbeat takes another 52 B unless a frame carries the acknowledgement: 207
// B for each link and heartbeat interval. At 4,500 B/s for heartbeats, 26 links
// allow an interval of 1.2 s. The interval is limited to 1 s, which takes 5,382
// B/s. The remaining 762 B/s carry load digests within the data centre: 20
// links at 200 B each (digest, frame and headers) are 4,000 B for each round,
// so the digest interval is 5.2 s. With few links the minimum intervals apply:
// 400 ms for heartbeats, 500 ms for digests.
//
// Urgent changes don't wait for the interval: a leaving flag, a new list or
// incarnation and a claim are sent at once. They are rare, and never rely on a
// silent link being detected.
#pragma once

#include <greengagedrum/base/time.hpp>

#include <algorithm>
#include <cstddef>

namespace greengagedrum::membership
{

// Time between two messages of a kind to the same peer.
struct send_intervals {
    base::duration heartbeat;
    base::duration load_digest;
};

// `links`: open links to all peers; `local_links`: those of them within the own
// data centre.
inline send_intervals send_intervals_for(std::size_t links,
                                         std::size_t local_links)
{
    constexpr std::size_t heartbeat_bytes = 207; // per link and interval
    constexpr std::size_t heartbeat_rate = 4500; // bytes per second
    constexpr std::size_t digest_bytes = 200;    // per local link and interval
    constexpr std::size_t digest_rate = 762;     // bytes per second
    constexpr base::duration heartbeat_min(400'000);
    constexpr base::duration heartbeat_max(1'000'000);
    constexpr base::duration digest_min(500'000);
    constexpr base::duration digest_max(6'000'000);
    constexpr std::size_t microseconds_per_second = 1'000'000;
    const base::duration heartbeat_interval(
        links * heartbeat_bytes * microseconds_per_second / heartbeat_rate);
    const base::duration digest_interval(local_links * digest_bytes *
                                         microseconds_per_second / digest_rate);
    return {std::clamp(heartbeat_interval, heartbeat_min, heartbeat_max),
            std::clamp(digest_interval, digest_min, digest_max)};
}

} // namespace greengagedrum::membership
