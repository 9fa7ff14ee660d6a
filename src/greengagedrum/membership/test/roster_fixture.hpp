// A roster in virtual time, with two data centres of three slots each.
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
    roster own{options("zona-4-a", 10)};
    std::map<std::string, std::uint64_t> sequences;

    roster_fixture() { this->own.update_list(both(5), this->now); }

    static roster_options options(std::string_view slot,
                                  std::uint64_t incarnation)
    {
        roster_options out;
        out.slot = base::slot_id(slot);
        out.incarnation = base::incarnation{incarnation};
        out.data_centre = base::data_centre_id("zona-4");
        return out;
    }

    static listed_instance entry(const std::string& where, char slot)
    {
        return {where + "-" + slot,
                instance_type::entry,
                where,
                std::string("127.0.0.1:") + slot,
                listed_state::live};
    }

    static instance_list both(std::uint64_t revision)
    {
        instance_list out;
        out.revision = revision;
        for (const char* where : {"zona-4", "zona-9"})
            for (const char slot : {'a', 'b', 'c'})
                out.instances.push_back(entry(where, slot));
        return out;
    }

    heartbeat beat(const std::string& slot, std::uint64_t incarnation)
    {
        heartbeat out;
        out.slot = base::slot_id(slot);
        out.incarnation = base::incarnation{incarnation};
        out.sequence = ++this->sequences[slot];
        out.list_revision = 5;
        return out;
    }

    bool hear(const std::string& slot, std::uint64_t incarnation)
    {
        return this->own.receive_heartbeat(this->beat(slot, incarnation),
                                           this->now);
    }

    void link(const std::string& slot, std::uint64_t incarnation)
    {
        this->own.link_up(
            base::slot_id(slot), base::incarnation{incarnation}, this->now);
    }

    void unlink(const std::string& slot)
    {
        this->own.link_down(base::slot_id(slot), this->now);
    }

    // Time goes by in ticks; those named are heard in each.
    void run(base::duration time, const std::vector<std::string>& heard = {})
    {
        for (base::duration gone{0}; gone < time; gone += step) {
            this->now += step;
            for (const std::string& slot : heard)
                this->hear(slot, 20);
            this->own.tick(this->now);
        }
    }

    peer_view view(const std::string& slot) const
    {
        for (const peer_view& one : this->own.peers(this->now))
            if (one.slot == base::slot_id(slot))
                return one;
        return {};
    }

    peer_state state(const std::string& slot) const
    {
        return this->view(slot).state;
    }
};

} // namespace greengagedrum::membership
