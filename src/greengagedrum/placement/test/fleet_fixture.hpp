// Engines that decode in virtual time behind a planner, for stories of
// placement. The engines prefill in order of arrival and decode all streams at
// one speed, as real ones do; their true speeds are set by the test.
#pragma once

#include <greengagedrum/placement/planner.hpp>

#include <doctest/doctest.h>

#include <map>
#include <string>
#include <vector>

namespace greengagedrum::placement
{

struct fleet_fixture {
    planner tested;
    base::instant now{std::chrono::seconds(100)};
    std::uint64_t last_dispatch = 0;
    config::fleet fleet;

    explicit fleet_fixture(std::string_view slot = "zona-4-a",
                           policy_choice policy = policy_choice::scheduler)
        : tested(base::data_centre_id("zona-4"), make_options(slot, policy))
    {
    }

    static options make_options(std::string_view slot, policy_choice policy)
    {
        options out;
        out.slot = base::slot_id(slot);
        out.policy = policy;
        return out;
    }

    void engines(int count, std::uint32_t places = 8)
    {
        std::vector<std::string> names;
        for (int number = 0; number < count; ++number) {
            names.push_back("photo-" + std::to_string(number));
            this->fleet.upstreams.push_back(engine(names.back(), places));
        }
        this->tested.set_fleet(this->fleet);
        this->tested.set_listed(listing(names));
    }

    static config::upstream_entry engine(const std::string& name,
                                         std::uint32_t places)
    {
        config::upstream_entry out;
        out.name = name;
        out.id = base::upstream_id(name);
        out.data_centre = base::data_centre_id("zona-4");
        out.upstream_class = base::upstream_class_id("photo");
        out.generation = "g2";
        out.models = {"compliance"};
        out.max_in_flight = places;
        out.prefill_tokens_per_second = 8000;
        out.decode_tokens_per_second = 50;
        return out;
    }

    static std::vector<membership::listed_instance>
    listing(const std::vector<std::string>& names,
            membership::listed_state state = membership::listed_state::live)
    {
        std::vector<membership::listed_instance> out;
        for (const std::string& name : names)
            out.push_back({name,
                           membership::instance_type::upstream,
                           "zona-4",
                           "127.0.0.1:1",
                           state});
        return out;
    }

    static base::request_spec work(std::uint32_t prompt = 100,
                                   std::uint32_t output = 100,
                                   std::uint64_t prefix = 0)
    {
        base::request_spec out;
        out.workspace = base::workspace_id("atlas");
        out.kind = base::kind_id("review");
        out.upstream_class = base::upstream_class_id("photo");
        out.model = base::model_id("compliance");
        out.repetition = base::repetition::idempotent;
        out.prompt_tokens = prompt;
        out.output_tokens = output;
        out.prefix_hash = prefix;
        return out;
    }

    base::dispatch_id send(base::upstream_id to, const base::request_spec& item)
    {
        const base::dispatch_id id{{1}, ++this->last_dispatch};
        this->tested.sent(id, to, item, this->now);
        return id;
    }

    // Chooses and sends; none when nothing has room.
    std::optional<base::upstream_id> place(const base::request_spec& item)
    {
        const auto chosen = this->tested.choose(item, {}, this->now);
        if (!chosen)
            return std::nullopt;
        this->send(chosen->upstream, item);
        return chosen->upstream;
    }

    // Tokens from `from` + 1 to `to`, one each `gap`.
    void decode(base::dispatch_id id,
                std::uint32_t from,
                std::uint32_t to,
                base::duration gap)
    {
        for (std::uint32_t token = from + 1; token <= to; ++token) {
            this->now += gap;
            this->tested.progressed(id, token, this->now);
        }
    }

    // One whole request there at the document's speed, or slower.
    void serve(base::upstream_id at, int slower = 1, std::uint32_t tokens = 64)
    {
        const base::request_spec item = work(800, tokens);
        const auto id = this->send(at, item);
        this->now += std::chrono::milliseconds(100) * slower;
        this->tested.progressed(id, 1, this->now);
        this->decode(id, 1, tokens, std::chrono::milliseconds(20) * slower);
        this->tested.finished(id, tokens, 0);
        this->tested.ended(id, this->now);
    }

    static base::upstream_id name(int number)
    {
        return base::upstream_id("photo-" + std::to_string(number));
    }

    // How often each engine is chosen for `count` requests.
    std::map<base::upstream_id, int> spread(int count,
                                            const base::request_spec& item)
    {
        std::map<base::upstream_id, int> out;
        for (int number = 0; number < count; ++number) {
            if (const auto to = this->place(item))
                out[*to] += 1;
        }
        return out;
    }
};

} // namespace greengagedrum::placement
