// The calls on the service of a whole fleet, in virtual time.
#include <greengagedrum/config/spreader.hpp>

#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <random>

namespace greengagedrum::config
{

namespace
{

using namespace std::chrono_literals;

// 350 entries in 17 data centres; each is linked with its whole data centre
// and two of its neighbours' entries. Of the documents only the revision.
struct fleet_fixture {
    struct entry {
        explicit entry(spreader made) : decisions(std::move(made)) {}
        spreader decisions;
        std::uint64_t held = 0;
        std::uint64_t told = 0; // with its last heartbeat
        base::platform_reachability contact =
            base::platform_reachability::unknown;
        std::vector<std::size_t> linked;
        std::size_t centre = 0;
        bool service_silent = false;
        bool complete = false;
    };
    struct answer_due {
        base::instant when;
        std::size_t entry = 0;
        std::uint64_t call = 0;
        std::uint64_t since = 0;
    };
    static constexpr std::size_t entry_count = 350;
    static constexpr std::size_t centre_count = 17;
    static constexpr int turns_a_heartbeat = 20; // 1 s, the slowest pace
    static constexpr int turns_a_news_gap = 2;   // 100 ms
    static constexpr base::duration pace = 50ms;
    static constexpr double calls_allowed = 2000; // a second
    static constexpr double margin = 0.5;

    std::vector<entry> entries;
    std::vector<answer_due> waiting; // watches that the service holds back
    std::vector<std::size_t> called; // entries, in this turn
    std::uint64_t published = 1;
    bool service_refuses = false;
    base::instant now{};
    std::mt19937 random{11};
    int turns = 0;

    fleet_fixture()
    {
        for (std::size_t i = 0; i < entry_count; ++i) {
            const base::slot_id slot(std::uint64_t{i + 1});
            entry made(spreader({.own = slot}));
            made.centre = i % centre_count;
            for (std::size_t other = 0; other < entry_count; ++other) {
                const bool near = other % centre_count == made.centre;
                const bool across = other == (i + 1) % entry_count ||
                                    (other + 1) % entry_count == i;
                if (other != i && (near || across))
                    made.linked.push_back(other);
            }
            this->entries.push_back(std::move(made));
        }
    }

    double draw()
    {
        return std::uniform_real_distribution<double>(0.0, 1.0)(this->random);
    }

    static held_state state(const entry& of)
    {
        return {of.held, of.complete, false};
    }

    void tell(std::size_t index, const spread_event& event)
    {
        entry& one = this->entries[index];
        std::vector<spread_action> out;
        one.decisions.step(event, state(one), this->now, out);
        for (const spread_action& action : out)
            this->carry_out(index, action);
    }

    void carry_out(std::size_t index, const spread_action& action)
    {
        entry& one = this->entries[index];
        if (const auto* ask = std::get_if<ask_peer>(&action)) {
            const entry& peer = this->entries[ask->slot.value - 1];
            one.held = std::max(one.held, peer.held);
            one.complete = one.complete || peer.complete;
            this->tell(index, peer_answered{ask->slot});
        }
        const auto* call = std::get_if<ask_service>(&action);
        if (call == nullptr)
            return;
        this->called.push_back(index);
        if (this->service_refuses)
            this->tell(index, service_failed{call->call, this->draw()});
        else if (!one.service_silent)
            this->waiting.push_back(
                {this->now + call->wait, index, call->call, call->since});
    }

    void answer_calls()
    {
        std::vector<answer_due> held_back;
        std::vector<answer_due> answered;
        for (const answer_due& one : this->waiting) {
            const bool ready =
                one.when <= this->now || one.since < this->published;
            (ready ? answered : held_back).push_back(one);
        }
        this->waiting = std::move(held_back);
        for (const answer_due& one : answered) {
            entry& by = this->entries[one.entry];
            if (by.service_silent)
                continue;
            by.held = std::max(by.held, this->published);
            by.complete = true;
            this->tell(one.entry, service_answered{one.call, this->published});
        }
    }

    void beat(std::size_t index)
    {
        entry& one = this->entries[index];
        const base::platform_reachability contact =
            one.decisions.contact(this->now);
        const int turn = this->turns + static_cast<int>(index);
        const bool news = one.told != one.held || one.contact != contact;
        if (turn % turns_a_heartbeat != 0 &&
            !(news && turn % turns_a_news_gap == 0))
            return;
        one.told = one.held;
        one.contact = contact;
    }

    void turn()
    {
        this->now += pace;
        ++this->turns;
        this->called.clear();
        this->answer_calls();
        for (std::size_t i = 0; i < entry_count; ++i)
            this->beat(i);
        std::vector<peer_view> peers;
        for (std::size_t i = 0; i < entry_count; ++i) {
            peers.clear();
            for (const std::size_t other : this->entries[i].linked) {
                const entry& peer = this->entries[other];
                peers.push_back({base::slot_id(std::uint64_t{other + 1}),
                                 peer.centre == this->entries[i].centre,
                                 peer.told,
                                 peer.contact});
            }
            this->tell(i, spread_tick{peers, this->draw()});
        }
    }

    // The most calls in one second of so many.
    std::size_t most_in_a_second(int seconds,
                                 const std::function<void(int)>& each = {})
    {
        constexpr int turns_a_second = 20;
        std::size_t most = 0;
        for (int second = 0; second < seconds; ++second) {
            std::size_t calls = 0;
            for (int i = 0; i < turns_a_second; ++i) {
                this->turn();
                calls += this->called.size();
            }
            most = std::max(most, calls);
            if (each)
                each(second);
        }
        return most;
    }

    bool everywhere() const
    {
        return std::all_of(
            this->entries.begin(), this->entries.end(), [this](const auto& i) {
                return i.held == this->published;
            });
    }

    base::duration time_to_spread()
    {
        const base::instant from = this->now;
        while (!this->everywhere() && this->now - from < 60s)
            this->turn();
        return this->now - from;
    }
};

} // namespace

TEST_CASE_FIXTURE(fleet_fixture, "fleet_of_350_calls_bounded_in_every_state")
{
    // The platform's service goes down under its own readers: it counts each
    // call, and 350 entries that come back at once take it down again.
    const std::size_t started = this->most_in_a_second(5);
    for (const entry& one : this->entries)
        CHECK(one.decisions.ready());
    const std::size_t idle = this->most_in_a_second(30);
    const std::size_t changing =
        this->most_in_a_second(15, [this](int) { ++this->published; });
    this->service_refuses = true;
    const std::size_t down = this->most_in_a_second(30);
    this->service_refuses = false;
    const std::size_t back = this->most_in_a_second(10);
    for (std::size_t i = 0; i < entry_count; i += 2)
        this->entries[i].service_silent = true;
    const std::size_t half_cut_off = this->most_in_a_second(30);
    MESSAGE("most calls in a second: start ",
            started,
            ", idle ",
            idle,
            ", a change each second ",
            changing,
            ", service down ",
            down,
            ", back ",
            back,
            ", half of all cut off ",
            half_cut_off);
    for (const std::size_t most :
         {started, idle, changing, down, back, half_cut_off})
        CHECK(static_cast<double>(most) <= calls_allowed * margin);
    CHECK(idle <= entry_count / 2); // does not come to one an entry
}

TEST_CASE_FIXTURE(fleet_fixture, "fleet_of_350_half_cut_off_change_within_4_s")
{
    this->most_in_a_second(10);
    ++this->published;
    const base::duration whole = this->time_to_spread();
    for (std::size_t i = 0; i < entry_count; ++i)
        this->entries[i].service_silent = this->entries[i].centre % 2 == 0 ||
                                          i / centre_count < entry_count / 35;
    ++this->published;
    const base::duration cut = this->time_to_spread();
    MESSAGE("microseconds: all hear ", whole.count(), ", half ", cut.count());
    CHECK(whole <= 4s);
    CHECK(cut <= 4s);
}

} // namespace greengagedrum::config
