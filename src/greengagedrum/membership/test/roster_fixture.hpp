// A roster on a simulated clock, with two data centres of three slots each.
#pragma once

#include <greengagedrum/membership/roster.hpp>

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace greengagedrum::membership
{

struct roster_fixture {
    static constexpr base::duration step{200'000};

    base::instant now{base::duration(1'000'000)};
    roster tested{options("zona-4-a", 10)};
    std::map<std::string, std::uint64_t> sequences;

    roster_fixture()
    {
        this->tested.update_list(two_data_centres(5), this->now);
    }

    static roster_options options(std::string_view slot,
                                  std::uint64_t incarnation)
    {
        roster_options out;
        out.slot = base::slot_id(slot);
        out.incarnation = base::incarnation{incarnation};
        out.data_centre = base::data_centre_id("zona-4");
        return out;
    }

    static listed_instance entry(const std::string& data_centre, char slot)
    {
        return {data_centre + "-" + slot,
                instance_type::entry,
                data_centre,
                std::string("127.0.0.1:") + slot,
                listed_state::live};
    }

    static instance_list two_data_centres(std::uint64_t revision)
    {
        instance_list out;
        out.revision = revision;
        for (const char* data_centre : {"zona-4", "zona-9"})
            for (const char slot : {'a', 'b', 'c'})
                out.instances.push_back(entry(data_centre, slot));
        return out;
    }

    heartbeat heartbeat_from(const std::string& slot, std::uint64_t incarnation)
    {
        heartbeat out;
        out.slot = base::slot_id(slot);
        out.incarnation = base::incarnation{incarnation};
        out.sequence = ++this->sequences[slot];
        out.list_revision = 5;
        return out;
    }

    bool receive(const std::string& slot, std::uint64_t incarnation)
    {
        return this->tested.receive_heartbeat(
            this->heartbeat_from(slot, incarnation), this->now);
    }

    void link(const std::string& slot, std::uint64_t incarnation)
    {
        this->tested.link_up(
            base::slot_id(slot), base::incarnation{incarnation}, this->now);
    }

    void unlink(const std::string& slot)
    {
        this->tested.link_down(base::slot_id(slot), this->now);
    }

    // Advances the clock in ticks. `senders` send a heartbeat in each tick.
    void advance(base::duration time,
                 const std::vector<std::string>& senders = {})
    {
        for (base::duration elapsed{0}; elapsed < time; elapsed += step) {
            this->now += step;
            for (const std::string& slot : senders)
                this->receive(slot, 20);
            this->tested.tick(this->now);
        }
    }

    peer_view view(const std::string& slot) const
    {
        for (const peer_view& peer : this->tested.peers(this->now))
            if (peer.slot == base::slot_id(slot))
                return peer;
        return {};
    }

    peer_state state(const std::string& slot) const
    {
        return this->view(slot).state;
    }
};

} // namespace greengagedrum::membership
