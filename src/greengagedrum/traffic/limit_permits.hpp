// Permits of other entries to send requests to upstreams that announce a rate
// limit.
//
// A permit is counted by its giver as a request that it sent itself, before the
// grant leaves it. It expires a short time after the receiver stated its need,
// and the receiver alone measures that time. All entries together therefore
// send within any span no more than what was counted within that span and the
// lifetime before it, whatever becomes of the messages.
#pragma once

#include <greengagedrum/traffic/limit_grant.hpp>

#include <deque>
#include <unordered_map>

namespace greengagedrum::traffic
{

class limit_permits
{
public:
    static constexpr base::duration max_lifetime =
        std::chrono::milliseconds(500);

    // This entry states its need in a message with that number.
    void on_need_sent(std::uint64_t number, base::instant now);

    // Returns true if permits were added. A grant that was received before,
    // that is older than another one of the same giver, or that answers a need
    // of an earlier process or of too long ago adds none.
    bool accept(base::slot_id giver,
                const limit_grant& grant,
                base::incarnation own,
                base::instant now);

    std::uint32_t available(base::upstream_id upstream,
                            base::instant now) const;
    // Uses up the permit that expires first. False: there is none.
    bool use(base::upstream_id upstream, base::instant now);

private:
    struct stated_need {
        std::uint64_t number = 0;
        base::instant at;
    };

    struct newest_grant {
        base::incarnation giver;
        std::uint64_t number = 0;
    };

    struct held_permit {
        base::instant expires_at;
        std::uint32_t requests = 0;
    };

    bool is_new(base::slot_id giver, const limit_grant& grant);

    std::deque<stated_need> needs; // of the last `max_lifetime`
    std::unordered_map<base::slot_id, newest_grant> newest;
    std::unordered_map<base::upstream_id, std::vector<held_permit>> held;
};

} // namespace greengagedrum::traffic
