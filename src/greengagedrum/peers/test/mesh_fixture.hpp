// A few meshes in one thread, over loopback.
//
// Waits are bounded by `patience`, long enough for a busy machine: a test
// fails by its condition, never by the speed of the machine.
#pragma once

#include <greengagedrum/peers/mesh.hpp>

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace greengagedrum::peers
{

inline base::instant test_now()
{
    return base::instant(std::chrono::duration_cast<base::duration>(
        std::chrono::steady_clock::now().time_since_epoch()));
}

// A mesh that notes what it is told and can send heartbeats by itself.
struct test_peer {
    sender_identity own;
    std::vector<message> received;
    std::vector<sender_identity> ups;
    std::uint32_t downs = 0;
    base::incarnation outranked_by;
    base::incarnation known; // told to whoever links
    bool beating = true;
    base::instant next_beat;
    std::uint64_t beats = 0;
    std::unique_ptr<mesh> links;

    explicit test_peer(std::string_view slot,
                       std::uint64_t life = 1,
                       std::string_view key = "a key of 16 bytes",
                       std::optional<std::string> previous = std::nullopt)
        : own{base::slot_id(slot), base::incarnation{life}}
    {
        mesh_settings settings;
        settings.links.own = this->own;
        settings.links.key = key;
        settings.links.previous_key = std::move(previous);
        settings.links.interval = 200;
        settings.links.known_life = [this](base::slot_id) {
            return this->known;
        };
        settings.seed = life;
        settings.other_dials = std::chrono::milliseconds(300);
        settings.clock = test_now;
        mesh_events events;
        events.received = [this](message&& got) {
            this->received.push_back(std::move(got));
        };
        events.link_up = [this](const sender_identity& peer) {
            this->ups.push_back(peer);
        };
        events.link_down = [this](base::slot_id) { ++this->downs; };
        events.outranked = [this](base::incarnation life_told) {
            this->outranked_by = life_told;
        };
        this->links = std::make_unique<mesh>(settings, events);
        REQUIRE(this->links->start("127.0.0.1:0"));
    }

    peer_target target() const
    {
        return {this->own.slot, this->links->address(), false};
    }

    void turn()
    {
        const base::instant now = test_now();
        if (this->beating && now >= this->next_beat) {
            this->next_beat = now + std::chrono::milliseconds(100);
            membership::heartbeat beat;
            beat.slot = this->own.slot;
            beat.incarnation = this->own.life;
            beat.sequence = ++this->beats;
            this->links->broadcast(beat);
        }
        this->links->poll_once(std::chrono::milliseconds(1));
    }

    bool linked(const test_peer& other) const
    {
        return this->links->linked(other.own.slot);
    }

    template <class Body>
    std::size_t count() const
    {
        const auto found = std::count_if(
            this->received.begin(), this->received.end(), [](const auto& got) {
                return std::holds_alternative<Body>(got.body);
            });
        return static_cast<std::size_t>(found);
    }

    peer_counters counters_of(const test_peer& other) const
    {
        return this->links->counters()[other.own.slot];
    }
};

struct mesh_fixture {
    static constexpr std::chrono::seconds patience{20};

    std::vector<test_peer*> all;

    bool until(const std::function<bool()>& done,
               base::duration limit = patience)
    {
        const base::instant end = test_now() + limit;
        while (!done()) {
            if (test_now() > end)
                return false;
            for (test_peer* peer : this->all)
                peer->turn();
        }
        return true;
    }

    void run_for(base::duration time)
    {
        const base::instant end = test_now() + time;
        this->until([end] { return test_now() >= end; }, 2 * time);
    }
};

} // namespace greengagedrum::peers
