// Decides from an entry's own observations whether it is congested: whether
// packets that it sends now would wait half a second. A congested entry is left
// out of the duties that others depend on.
//
// The wait is the longest of three: the age of the oldest datagram that has not
// left, the time that the link needs for the bytes of unsent transfers, and the
// lateness of the event loop. An entry becomes congested when the wait was long
// in two observations that lie some time apart, so a single pause of the
// process does not suffice; peers notice that one by the entry's silence. It
// remains congested until the wait has been short without interruption for a
// while, and that time doubles with each relapse, since a duty that congests
// the entry would otherwise go to and fro.
#pragma once

#include <greengagedrum/base/time.hpp>

#include <cstdint>
#include <deque>
#include <optional>

namespace greengagedrum::gossip
{

// What an entry observes of itself at one moment.
struct load_observation {
    base::duration lateness{0}; // of the event loop's timer
    // Bytes of datagrams written since the process started, and those of them
    // that have not left; in the same unit, which need not be the length.
    std::uint64_t datagram_bytes_written = 0;
    std::uint64_t datagram_bytes_unsent = 0;
    // Of transfers to peers, which read as fast as the links allow.
    std::uint64_t transfer_bytes_unsent = 0;
};

class duty_fitness
{
public:
    // Capacity 0: unknown, and transfers are not taken into account.
    explicit duty_fitness(double link_bytes_per_second)
        : link_bytes_per_second(link_bytes_per_second)
    {
    }

    // Returns whether the result has changed. Observations are made several
    // times a second.
    bool observe(const load_observation& observed, base::instant now);

    bool is_congested() const { return this->congested; }
    // The time that a packet sent at the last observation would wait.
    base::duration packet_wait() const { return this->last_wait; }

private:
    // The number of bytes written up to an instant.
    struct write_record {
        base::instant at;
        std::uint64_t bytes_written = 0;
    };

    base::duration oldest_datagram_age(const load_observation& observed,
                                       base::instant now);
    base::duration transfer_wait(const load_observation& observed) const;
    bool begins(base::instant now);
    bool ends(base::instant now) const;

    double link_bytes_per_second;
    std::deque<write_record> writes; // of which a part may not have left
    std::uint64_t bytes_left = 0;    // datagram bytes known to have left
    bool congested = false;
    base::duration last_wait{0};
    std::optional<base::instant> long_wait_since;
    std::optional<base::instant> short_wait_since;
    std::optional<base::instant> recovered_at;
    int relapses = 0;
};

} // namespace greengagedrum::gossip
