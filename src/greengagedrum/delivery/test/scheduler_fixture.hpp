// A test fixture for the scheduler.
#pragma once

#include <greengagedrum/delivery/scheduler.hpp>

#include <doctest/doctest.h>

#include <memory>
#include <vector>

namespace greengagedrum::delivery
{

// A scheduler in virtual time with two upstreams of one class, two slots each,
// and helpers that send requests and advance time.
struct scheduler_fixture {
    scheduler core;
    base::instant now;
    std::vector<action> actions; // of the latest step
    std::uint64_t last_request = 0;

    explicit scheduler_fixture(
        const scheduler_options& options = default_options())
        : core(options)
    {
        config::snapshot snapshot;
        snapshot.fleet.upstreams = {make_upstream("photo-1"),
                                    make_upstream("photo-2")};
        this->step(
            config_changed{std::make_shared<const config::snapshot>(snapshot)});
        this->list_upstreams({"photo-1", "photo-2"});
    }

    static scheduler_options default_options()
    {
        scheduler_options out;
        out.slot = base::slot_id("zona-4-a");
        out.incarnation = base::incarnation{7};
        out.data_centre = base::data_centre_id("zona-4");
        return out;
    }

    static config::upstream_entry make_upstream(const std::string& name)
    {
        config::upstream_entry out;
        out.name = name;
        out.id = base::upstream_id(name);
        out.data_centre = base::data_centre_id("zona-4");
        out.upstream_class = base::upstream_class_id("photo");
        out.models = {"compliance"};
        out.max_in_flight = 2;
        return out;
    }

    void list_upstreams(const std::vector<std::string>& live)
    {
        membership::instance_list list;
        for (const std::string& name : live)
            list.instances.push_back({name,
                                      membership::instance_type::upstream,
                                      "zona-4",
                                      "127.0.0.1:1",
                                      membership::listed_state::live});
        this->step(instances_listed{list});
    }

    void step(const event& input)
    {
        this->actions.clear();
        this->core.step(input, this->now, this->actions);
    }

    void advance(base::duration span)
    {
        this->now += span;
        this->step(tick{});
    }

    // Advances time from timer to timer until a step has an action of type
    // Wanted; false if none has within `bound`.
    template <class Wanted>
    bool run_until(base::duration bound)
    {
        const base::instant limit = this->now + bound;
        while (this->core.next_wake() && *this->core.next_wake() <= limit) {
            this->now = std::max(this->now, *this->core.next_wake());
            this->step(tick{});
            if (this->first_action<Wanted>() != nullptr)
                return true;
        }
        return false;
    }

    base::request_id arrive(base::repetition repetition,
                            base::tier tier = base::tier::standard)
    {
        return this->arrive(repetition, tier, {});
    }

    // Sends an at-most-once request with an idempotency key of the caller.
    base::request_id arrive_with_key(const std::string& key)
    {
        return this->arrive(
            base::repetition::at_most_once,
            base::tier::standard,
            idempotency::caller_key{base::workspace_id("mall"), key});
    }

    base::request_id arrive(base::repetition repetition,
                            base::tier tier,
                            std::optional<idempotency::claim_subject> subject)
    {
        request_arrived arrival;
        arrival.request = base::request_id{++this->last_request};
        arrival.subject = std::move(subject);
        arrival.spec.upstream_class = base::upstream_class_id("photo");
        arrival.spec.model = base::model_id("compliance");
        arrival.spec.repetition = repetition;
        arrival.spec.tier = tier;
        arrival.spec.prompt_tokens = 100;
        arrival.spec.output_tokens = 50;
        arrival.deadline_after = std::chrono::seconds(60);
        this->step(arrival);
        return arrival.request;
    }

    // Sends a request to a plain service, which has no model.
    base::request_id call_service(base::repetition repetition)
    {
        request_arrived arrival;
        arrival.request = base::request_id{++this->last_request};
        arrival.spec.upstream_class = base::upstream_class_id("photo");
        arrival.spec.repetition = repetition;
        arrival.deadline_after = std::chrono::seconds(60);
        this->step(arrival);
        return arrival.request;
    }

    // The first action of this type in the latest step, or null.
    template <class Wanted>
    const Wanted* first_action() const
    {
        for (const action& one : this->actions) {
            if (const auto* found = std::get_if<Wanted>(&one))
                return found;
        }
        return nullptr;
    }

    static base::answer_ptr make_answer()
    {
        return std::make_shared<const base::answer>(
            base::answer{"application/json", "text", 1, true});
    }
};

} // namespace greengagedrum::delivery
