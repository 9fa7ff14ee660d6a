// A scheduler in virtual time, with two engines of one class, and the few
// steps that tests repeat.
#pragma once

#include <greengagedrum/delivery/scheduler.hpp>

#include <doctest/doctest.h>

#include <memory>
#include <vector>

namespace greengagedrum::delivery
{

struct scheduler_fixture {
    scheduler core;
    base::instant now;
    std::vector<action> actions; // of the last step
    std::uint64_t last_request = 0;

    explicit scheduler_fixture(const scheduler_options& options = defaults())
        : core(options)
    {
        config::snapshot snapshot;
        snapshot.fleet.upstreams = {engine("photo-1"), engine("photo-2")};
        this->step(
            config_changed{std::make_shared<const config::snapshot>(snapshot)});
        this->list({"photo-1", "photo-2"});
    }

    static scheduler_options defaults()
    {
        scheduler_options out;
        out.slot = base::slot_id("zona-4-a");
        out.incarnation = base::incarnation{7};
        out.data_centre = base::data_centre_id("zona-4");
        return out;
    }

    static config::upstream_entry engine(const std::string& name)
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

    void list(const std::vector<std::string>& live)
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

    void step(const event& what)
    {
        this->actions.clear();
        this->core.step(what, this->now, this->actions);
    }

    void pass(base::duration time)
    {
        this->now += time;
        this->step(tick{});
    }

    // Steps through virtual time, timer by timer, until `found` or the bound.
    template <class Wanted>
    bool run_until(base::duration bound)
    {
        const base::instant limit = this->now + bound;
        while (this->core.next_wake() && *this->core.next_wake() <= limit) {
            this->now = std::max(this->now, *this->core.next_wake());
            this->step(tick{});
            if (this->get<Wanted>() != nullptr)
                return true;
        }
        return false;
    }

    base::request_id arrive(base::repetition repetition,
                            base::tier tier = base::tier::standard)
    {
        return this->arrive(repetition, tier, {});
    }

    // At most once, under a key of its caller's.
    base::request_id repeat(const std::string& key)
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
        request_arrived what;
        what.request = base::request_id{++this->last_request};
        what.subject = std::move(subject);
        what.spec.upstream_class = base::upstream_class_id("photo");
        what.spec.model = base::model_id("compliance");
        what.spec.repetition = repetition;
        what.spec.tier = tier;
        what.spec.prompt_tokens = 100;
        what.spec.output_tokens = 50;
        what.deadline_after = std::chrono::seconds(60);
        this->step(what);
        return what.request;
    }

    // A call to a plain service: it names no model.
    base::request_id call_service(base::repetition repetition)
    {
        request_arrived what;
        what.request = base::request_id{++this->last_request};
        what.spec.upstream_class = base::upstream_class_id("photo");
        what.spec.repetition = repetition;
        what.deadline_after = std::chrono::seconds(60);
        this->step(what);
        return what.request;
    }

    // The first action of this type in the last step, or null.
    template <class Wanted>
    const Wanted* get() const
    {
        for (const action& one : this->actions) {
            if (const auto* found = std::get_if<Wanted>(&one))
                return found;
        }
        return nullptr;
    }

    static base::answer_ptr whole()
    {
        return std::make_shared<const base::answer>(
            base::answer{"application/json", "text", 1, true});
    }
};

} // namespace greengagedrum::delivery
