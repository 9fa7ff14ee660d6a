// Tier priority when the lower-tier requests were dispatched by another entry.
#include <greengagedrum/delivery/scheduler.hpp>

#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <vector>

namespace greengagedrum::delivery
{

namespace
{

using namespace std::chrono_literals;

// Two entries that exchange load digests and share one upstream.
struct two_entries_fixture {
    struct entry {
        explicit entry(const char* name) : core(options_for(name)) {}
        scheduler core;
        std::vector<start_dispatch> started;
        std::vector<end_failed> failed;
        capacity::load_digest last_digest; // last digest this entry sent
    };

    entry a{"a"};
    entry b{"b"};
    base::instant now{1h};
    std::uint64_t last_request = 0;

    two_entries_fixture()
    {
        for (entry* each : {&this->a, &this->b}) {
            this->step(*each, config_changed{make_config()});
            membership::instance_list list;
            list.instances = {
                listed_entry("a"), listed_entry("b"), listed_entry("photo-1")};
            list.instances.back().type = membership::instance_type::upstream;
            this->step(*each, instances_listed{list});
        }
        this->exchange_loads();
    }

    static scheduler_options options_for(const char* name)
    {
        scheduler_options out;
        out.slot = base::slot_id(name);
        out.incarnation = base::incarnation{7};
        out.data_centre = base::data_centre_id("zona-4");
        return out;
    }

    static membership::listed_instance listed_entry(const std::string& name)
    {
        return {name,
                membership::instance_type::entry,
                "zona-4",
                "127.0.0.1:1",
                membership::listed_state::live};
    }

    static config::snapshot_ptr make_config()
    {
        config::upstream_entry upstream;
        upstream.name = "photo-1";
        upstream.id = base::upstream_id("photo-1");
        upstream.data_centre = base::data_centre_id("zona-4");
        upstream.upstream_class = base::upstream_class_id("photo");
        upstream.models = {"compliance"};
        upstream.max_in_flight = 4;
        config::snapshot out;
        out.fleet.upstreams = {upstream};
        return std::make_shared<const config::snapshot>(out);
    }

    void step(entry& receiver, const event& input)
    {
        std::vector<action> actions;
        receiver.core.step(input, this->now, actions);
        for (const action& one : actions) {
            if (const auto* start = std::get_if<start_dispatch>(&one))
                receiver.started.push_back(*start);
            if (const auto* end = std::get_if<end_failed>(&one))
                receiver.failed.push_back(*end);
            if (const auto* load = std::get_if<send_load_digest>(&one))
                receiver.last_digest = load->digest;
        }
    }

    void send_load(entry& from, entry& to, const char* slot)
    {
        peer_load message;
        message.sender = base::slot_id(slot);
        message.incarnation = base::incarnation{7};
        this->step(from, load_due{});
        message.digest = from.last_digest;
        this->step(to, message);
    }

    void exchange_loads()
    {
        this->send_load(this->a, this->b, "a");
        this->send_load(this->b, this->a, "b");
    }

    // Advances time while all running streams make progress and never end.
    void advance(base::duration span)
    {
        for (base::duration elapsed{0}; elapsed < span; elapsed += 250ms) {
            this->now += 250ms;
            this->exchange_loads();
            for (entry* each : {&this->a, &this->b}) {
                for (const start_dispatch& start : each->started)
                    this->step(*each, stream_progressed{start.dispatch, 1});
                this->step(*each, tick{});
            }
        }
    }

    void send(entry& receiver, base::tier tier, base::duration deadline_after)
    {
        request_arrived arrival;
        arrival.request = base::request_id{++this->last_request};
        arrival.spec.upstream_class = base::upstream_class_id("photo");
        arrival.spec.model = base::model_id("compliance");
        arrival.spec.tier = tier;
        arrival.spec.repetition = tier == base::tier::bulk
                                      ? base::repetition::at_most_once
                                      : base::repetition::idempotent;
        arrival.spec.prompt_tokens = 100;
        arrival.spec.output_tokens = 50;
        arrival.deadline_after = deadline_after;
        this->step(receiver, arrival);
    }
};

} // namespace

// Bulk requests of one entry fill the only upstream when a burst of urgent
// requests reaches another entry. The urgent requests must not be shed at their
// deadlines while the bulk requests run on: their entry has no lower-tier
// requests of its own and must count those of its peer.
TEST_CASE_FIXTURE(two_entries_fixture, "lower_tier_at_peer_urgent_not_shed")
{
    for (int i = 0; i < 4; ++i)
        this->send(this->b, base::tier::bulk, 10min);
    this->advance(3s);
    REQUIRE(!this->b.started.empty());
    for (int i = 0; i < 7; ++i)
        this->send(this->a, base::tier::urgent, 6s);
    this->advance(7s);
    CHECK(this->a.failed.empty());
    CHECK(this->a.started.size() == 7);
}

// The same burst, but the peer's last load digest is too old. The lower-tier
// requests in the digest no longer count, and the upstream is not overloaded
// beyond its slots because of them.
TEST_CASE_FIXTURE(two_entries_fixture, "peer_silent_lower_tier_load_ignored")
{
    for (int i = 0; i < 4; ++i)
        this->send(this->b, base::tier::bulk, 10min);
    this->advance(3s);
    this->now += 1min;
    for (int i = 0; i < 7; ++i)
        this->send(this->a, base::tier::urgent, 6s);
    for (int i = 0; i < 28; ++i) {
        this->now += 250ms;
        this->step(this->a, tick{});
    }
    CHECK(this->a.core.counters().forced == 0);
    CHECK(!this->a.failed.empty());
}

} // namespace greengagedrum::delivery
