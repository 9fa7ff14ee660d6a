// Random runs with upstreams that pause, break, refuse connects and reject.
#include <greengagedrum/traffic/test/scheduler_fixture.hpp>

#include <map>
#include <random>

namespace greengagedrum::traffic
{

namespace
{

using namespace std::chrono_literals;

constexpr int upstream_count = 3;
constexpr base::duration tick = 20ms;

struct random_run : scheduler_fixture {
    struct stream {
        std::uint32_t send = 0; // active; 0: none
        base::upstream_id upstream;
        std::uint32_t events = 0; // of the active send
        std::uint32_t sends = 0;  // that connected
    };

    std::mt19937 random;
    std::map<base::request_id, stream> streams;
    std::map<base::upstream_id, base::instant> paused_until;
    std::size_t moved = 0;
    std::size_t ended = 0;

    explicit random_run(std::uint32_t seed) : random(seed)
    {
        this->upstreams(upstream_count, 2);
    }

    bool chance(double share)
    {
        return std::bernoulli_distribution(share)(this->random);
    }

    // A send that was cancelled for silence must have a successor at once.
    void check_actions()
    {
        for (std::size_t at = 0; at < this->last_actions.size(); ++at) {
            if (const auto* sent =
                    std::get_if<send_request>(&this->last_actions[at])) {
                stream& one = this->streams[sent->request];
                REQUIRE(one.send == 0);
                one.send = sent->send;
                one.upstream = sent->upstream;
                one.events = 0;
                one.sends += 1;
                REQUIRE(one.sends <= resumable_facts().attempts_max);
            } else if (const auto* cancelled =
                           std::get_if<cancel_send>(&this->last_actions[at])) {
                stream& one = this->streams.at(cancelled->request);
                REQUIRE(one.send == cancelled->send);
                one.send = 0;
                if (cancelled->cause != cancel_cause::upstream_silent)
                    continue;
                this->moved += 1;
                REQUIRE(at + 1 < this->last_actions.size());
                const auto* next =
                    std::get_if<send_request>(&this->last_actions[at + 1]);
                REQUIRE(next != nullptr);
                REQUIRE(next->request == cancelled->request);
                REQUIRE(next->upstream != one.upstream);
            } else if (const auto* delivered = std::get_if<deliver_answer>(
                           &this->last_actions[at])) {
                this->ended += this->streams.erase(delivered->request);
            } else if (const auto* end =
                           std::get_if<end_request>(&this->last_actions[at])) {
                this->ended += this->streams.erase(end->request);
            }
        }
    }

    void run_upstream(base::request_id id)
    {
        const auto found = this->streams.find(id);
        if (found == this->streams.end() || found->second.send == 0 ||
            this->now < this->paused_until[found->second.upstream])
            return;
        stream& one = found->second;
        const std::uint32_t send = one.send;
        if (one.events == 0 && this->chance(0.05)) {
            one.send = 0;
            one.sends -= 1;
            this->step(connect_failed{id, send});
        } else if (one.events == 0 && this->chance(0.05)) {
            one.send = 0;
            one.sends -= 1;
            this->step(send_rejected{id, send});
        } else if (this->chance(0.01)) {
            one.send = 0;
            this->step(answer_interrupted{id, send});
        } else if (this->chance(0.03)) {
            this->answer(id, send);
        } else {
            this->step(events_received{id, send, ++one.events});
        }
        this->check_actions();
    }

    void run(base::duration time, bool arrivals)
    {
        for (base::duration passed{0}; passed < time; passed += tick) {
            this->advance(tick);
            this->check_actions();
            for (auto& [upstream, until] : this->paused_until)
                if (this->now >= until && this->chance(0.01))
                    until = this->now + 1200ms;
            if (arrivals && this->chance(0.1)) {
                const auto id = this->arrive(resumable_facts());
                this->streams.try_emplace(id);
                this->check_actions();
            }
            std::vector<base::request_id> known;
            for (const auto& [id, one] : this->streams)
                known.push_back(id);
            for (const base::request_id id : known)
                this->run_upstream(id);
            REQUIRE(this->tested.in_flight() == this->streams.size());
            REQUIRE(this->tested.waiting() <= this->streams.size());
        }
    }
};

} // namespace

// A stream is cancelled for silence without a place elsewhere, is queued twice,
// is sent more often than allowed, or never ends.
TEST_CASE("streams_of_pausing_upstreams_move_only_to_a_free_slot_and_end")
{
    std::size_t moved = 0;
    std::size_t ended = 0;
    for (std::uint32_t seed = 1; seed <= 20; ++seed) {
        random_run run(seed);
        run.run(60s, true);
        run.run(13s, false);
        CHECK(run.tested.in_flight() == 0);
        CHECK(run.tested.waiting() == 0);
        CHECK(run.tested.own_load(run.now).empty());
        moved += run.moved;
        ended += run.ended;
    }
    CHECK(moved > 20);
    CHECK(ended > 1000);
}

} // namespace greengagedrum::traffic
