// Streams whose upstreams fall silent, in virtual time.
#pragma once

#include <greengagedrum/traffic/test/scheduler_fixture.hpp>

namespace greengagedrum::traffic
{

inline constexpr base::duration tick = std::chrono::milliseconds(20);

struct silence_fixture : scheduler_fixture {
    std::uint32_t events = 3;
    std::size_t cancelled = 0;
    std::size_t suspected = 0;
    actions seen; // since the stream began

    // A stream that has brought its first events.
    base::request_id begin(const request_facts& facts = resumable_facts())
    {
        const base::request_id id = this->arrive(facts);
        this->step(events_received{id, this->sent().send, this->events});
        return id;
    }

    // Nothing arrives for that long.
    void pause(base::duration time)
    {
        for (base::duration passed{0}; passed < time; passed += tick) {
            this->advance(tick);
            for (const action& one : this->last_actions) {
                const auto* change = std::get_if<suspicion_changed>(&one);
                this->cancelled += std::holds_alternative<cancel_send>(one);
                this->suspected += change != nullptr && change->suspected;
            }
            this->seen.insert(this->seen.end(),
                              this->last_actions.begin(),
                              this->last_actions.end());
        }
    }

    const send_request* sent_in_pause() const
    {
        for (const action& one : this->seen)
            if (const auto* found = std::get_if<send_request>(&one))
                return found;
        return nullptr;
    }

    // The stream goes on for that long, while nothing else arrives.
    void
    keep_going(base::request_id id, std::uint32_t send, base::duration time)
    {
        for (base::duration passed{0}; passed < time; passed += 10 * tick) {
            this->pause(10 * tick);
            this->step(events_received{id, send, ++this->events});
        }
    }

    // The upstream of that send goes on and ends its answer.
    bool ends_whole(base::request_id id, std::uint32_t send)
    {
        this->step(events_received{id, send, ++this->events});
        this->answer(id, send);
        const auto* end = this->last_action<deliver_answer>();
        return end != nullptr && end->request == id && end->send == send;
    }
};

struct delegating_silence_fixture : silence_fixture {
    delegating_silence_fixture()
    {
        this->upstreams(2, 1);
        this->tested.set_delegating(true);
    }

    base::request_id begin_granted()
    {
        const base::request_id id = this->arrive(resumable_facts());
        this->grant(id, 1, "i-0");
        this->step(events_received{id, 1, this->events});
        return id;
    }

    void grant(base::request_id id, std::uint32_t send, const char* upstream)
    {
        slot_granted out;
        out.request = id;
        out.send = send;
        out.upstream = base::upstream_id(upstream);
        this->step(out);
    }
};

} // namespace greengagedrum::traffic
