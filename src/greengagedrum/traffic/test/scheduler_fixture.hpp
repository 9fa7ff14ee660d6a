// A scheduler in virtual time with upstreams that the test simulates step by
// step.
#pragma once

#include <greengagedrum/traffic/scheduler.hpp>

#include <doctest/doctest.h>

#include <string>
#include <vector>

namespace greengagedrum::traffic
{

inline const base::upstream_class_id engines("engines");

inline routing::published_upstream upstream_named(const std::string& name,
                                                  std::uint32_t slots)
{
    routing::published_upstream out;
    out.name = name;
    out.id = base::upstream_id(name);
    out.service = engines;
    out.slots = slots;
    return out;
}

inline routing::published_upstream
versioned_upstream(const std::string& name,
                   const std::string& version,
                   std::uint32_t slots = 1)
{
    routing::published_upstream out = upstream_named(name, slots);
    out.version = base::version_id(version);
    return out;
}

inline request_facts stream_facts(std::uint32_t priority = 0)
{
    request_facts out;
    out.service = engines;
    out.kind = base::kind_id("kind-" + std::to_string(priority));
    out.stream = true;
    out.priority = priority;
    out.prompt_tokens = 1000;
    out.output_tokens = 100;
    out.latency_objective = std::chrono::milliseconds(800);
    out.event_gap_objective = std::chrono::milliseconds(200);
    out.time_left = std::chrono::seconds(12);
    return out;
}

// A stream that may be sent again elsewhere.
inline request_facts resumable_facts()
{
    request_facts out = stream_facts();
    out.retry = routing::retry_policy::resumable;
    out.attempts_max = 3;
    return out;
}

struct scheduler_fixture {
    base::instant now{std::chrono::hours(1)};
    scheduler tested{{0.2, 50, std::chrono::seconds(10)}, {"hall", 1}};
    actions last_actions; // of the latest step
    std::uint64_t next_request_id = 1;

    void upstreams(int count, std::uint32_t slots)
    {
        for (int number = 0; number < count; ++number)
            this->tested.upstream_joined(
                upstream_named("i-" + std::to_string(number), slots),
                this->now);
    }

    void step(const event& what)
    {
        this->last_actions.clear();
        this->tested.step(what, this->now, this->last_actions);
    }

    void advance(base::duration time)
    {
        this->now += time;
        this->last_actions.clear();
        this->tested.tick(this->now, this->last_actions);
    }

    base::request_id arrive(const request_facts& facts)
    {
        const base::request_id id{this->next_request_id++};
        this->step(request_arrived{id, facts});
        return id;
    }

    // The latest action of type `Action` in the latest step; null if there is
    // none.
    template <class Action>
    const Action* last_action() const
    {
        for (auto one = this->last_actions.rbegin();
             one != this->last_actions.rend();
             ++one) {
            if (const auto* found = std::get_if<Action>(&*one))
                return found;
        }
        return nullptr;
    }

    const send_request& sent() const
    {
        const auto* found = this->last_action<send_request>();
        REQUIRE(found != nullptr);
        return *found;
    }

    const base::verdict& verdict() const
    {
        const auto* found = this->last_action<end_request>();
        REQUIRE(found != nullptr);
        return found->verdict;
    }

    void answer(base::request_id id, std::uint32_t send, bool good = true)
    {
        this->step(answer_received{id, send, good});
    }
};

} // namespace greengagedrum::traffic
