// The parts of ggd-bench-state; each prints what it measured.
#pragma once

#include <greengagedrum/capacity/shares.hpp>
#include <greengagedrum/config/check.hpp>
#include <greengagedrum/config/store.hpp>
#include <greengagedrum/delivery/scheduler.hpp>
#include <greengagedrum/idempotency/desk.hpp>
#include <greengagedrum/membership/roster.hpp>
#include <greengagedrum/telemetry/prometheus_text.hpp>
#include <greengagedrum/telemetry/registry.hpp>

#include <programs/bench_state/documents.hpp>
#include <programs/bench_state/fit.hpp>

#include <cstdint>
#include <ctime>
#include <string>
#include <vector>

namespace bench
{

using namespace greengagedrum;

struct config_costs {
    std::vector<double> check_ms;
    std::vector<double> change_ms;
    std::vector<double> memory_kib;
};

inline config_costs
config_costs_of(std::size_t workspaces, std::size_t upstreams, int repeat)
{
    constexpr int changes = 20;
    constexpr double thousand = 1e3;
    config_costs out;
    const config::document_set all = documents_of(workspaces, upstreams);
    for (int turn = 0; turn < repeat; ++turn) {
        const double start = processor_now();
        const bool sound = config::check(all.documents).faults.empty();
        out.check_ms.push_back((processor_now() - start) * thousand);
        const double before = allocated_kib();
        config::store store;
        store.apply(all);
        out.memory_kib.push_back(allocated_kib() - before);
        if (!sound || !store.current())
            std::fputs("the documents of the bench are faulty\n", stderr);
        std::uint64_t revision = all.revision;
        const double changed = processor_now();
        for (int change = 0; change < changes; ++change) {
            config::document_set one;
            one.revision = ++revision;
            one.documents = {workspace_document(
                static_cast<std::size_t>(change) % workspaces, revision)};
            store.apply(one);
        }
        out.change_ms.push_back((processor_now() - changed) * thousand /
                                changes);
    }
    return out;
}

inline void measure_workspaces(int repeat)
{
    series check("config: whole check", "workspaces", "ms");
    series change("config: one change into force", "workspaces", "ms");
    series memory("config: memory of the store", "workspaces", "KiB");
    for (const std::size_t size : {10U, 100U, 500U, 1000U, 2100U}) {
        const config_costs found = config_costs_of(size, 300, repeat);
        const auto at = static_cast<double>(size);
        check.add(at, found.check_ms);
        change.add(at, found.change_ms);
        memory.add(at, found.memory_kib);
    }
    for (const series* one : {&check, &change, &memory})
        one->print();
}

inline void measure_fleet(int repeat)
{
    series change("config: one change into force", "upstreams", "ms");
    series memory("config: memory of the store", "upstreams", "KiB");
    for (const std::size_t size : {500U, 1500U, 2500U, 3500U}) {
        const config_costs found = config_costs_of(100, size, repeat);
        change.add(static_cast<double>(size), found.change_ms);
        memory.add(static_cast<double>(size), found.memory_kib);
    }
    change.print();
    memory.print();
}

// ---- Idempotency --------------------------------------------------------

inline idempotency::desk_options bench_desk()
{
    idempotency::desk_options out;
    out.slot = base::slot_id("zona-4-a");
    out.data_centre = base::data_centre_id("zona-4");
    out.life = base::incarnation{1};
    out.started = base::instant(std::chrono::seconds(1));
    out.started_wall = idempotency::wall_time(std::chrono::seconds(1));
    return out;
}

// Tickets minted, granted, dispatched and answered at their home, with an
// answer of 640 bytes kept (128 tokens), all still remembered at the end.
inline void measure_tickets(int repeat)
{
    constexpr std::size_t answer_bytes = 640;
    series time(
        "tickets: a whole life at its home", "tickets remembered", "us");
    series memory("tickets: memory with answers", "tickets remembered", "KiB");
    for (const std::size_t size : {1000U, 10'000U, 50'000U, 150'000U}) {
        std::vector<double> micros;
        std::vector<double> kib;
        for (int turn = 0; turn < repeat; ++turn) {
            const double before = allocated_kib();
            idempotency::desk desk(bench_desk());
            std::vector<idempotency::output> out;
            base::instant now(std::chrono::seconds(10));
            const double start = processor_now();
            for (std::size_t at = 1; at <= size; ++at) {
                out.clear();
                const base::request_id id{at};
                desk.begin(id,
                           desk.mint(now),
                           base::data_centre_id("zona-4"),
                           at,
                           now,
                           out);
                if (!desk.may_dispatch(id, now))
                    std::fputs("a ticket was not granted\n", stderr);
                desk.dispatched(id);
                desk.answered(id,
                              std::make_shared<const base::answer>(
                                  base::answer{"text/event-stream",
                                               std::string(answer_bytes, 'a'),
                                               128,
                                               true}),
                              now,
                              out);
                now += std::chrono::microseconds(100);
            }
            micros.push_back((processor_now() - start) * million /
                             static_cast<double>(size));
            kib.push_back(allocated_kib() - before);
        }
        time.add(static_cast<double>(size), micros);
        memory.add(static_cast<double>(size), kib);
    }
    time.print();
    memory.print();
}

// ---- Telemetry ----------------------------------------------------------

inline telemetry::request_ended ended_of(std::size_t number)
{
    telemetry::request_ended out;
    out.series = {
        "workspace-" + std::to_string(number), base::tier::standard, "review"};
    out.tokens = 128;
    out.total = std::chrono::milliseconds(900);
    out.queue_wait = std::chrono::milliseconds(3);
    out.first_token = std::chrono::milliseconds(120);
    out.token_gaps.assign(128, std::chrono::milliseconds(6));
    return out;
}

inline void measure_series(int repeat)
{
    constexpr std::size_t ends = 20'000;
    constexpr double thousand = 1e3;
    series add("telemetry: one request of 128 tokens", "series", "us");
    series text("telemetry: text of /metrics", "series", "ms");
    series memory("telemetry: memory", "series", "KiB");
    for (const std::size_t size : {10U, 100U, 500U, 1000U, 2000U}) {
        std::vector<double> micros;
        std::vector<double> millis;
        std::vector<double> kib;
        for (int turn = 0; turn < repeat; ++turn) {
            const double before = allocated_kib();
            telemetry::registry measured(size);
            for (std::size_t at = 0; at < size; ++at)
                measured.add(ended_of(at));
            kib.push_back(allocated_kib() - before);
            const telemetry::measurement one = ended_of(size / 2);
            const double start = processor_now();
            for (std::size_t at = 0; at < ends; ++at)
                measured.add(one);
            micros.push_back((processor_now() - start) * million / ends);
            const double written = processor_now();
            if (telemetry::prometheus_text(measured).empty())
                std::fputs("no metrics\n", stderr);
            millis.push_back((processor_now() - written) * thousand);
        }
        add.add(static_cast<double>(size), micros);
        text.add(static_cast<double>(size), millis);
        memory.add(static_cast<double>(size), kib);
    }
    add.print();
    text.print();
    memory.print();
}

// ---- Peers' load --------------------------------------------------------

// Peers that each use 20 of the data centre's 270 upstreams; the target has 21
// entries and 270 upstreams a data centre.
inline void measure_shares(int repeat)
{
    constexpr std::size_t upstreams = 270;
    constexpr std::size_t used = 20;
    constexpr int asks = 20'000;
    series hear("capacity: a peer's digest heard", "peers", "us");
    series ask("capacity: own places of an upstream", "peers", "us");
    series memory("capacity: memory", "peers", "KiB");
    for (const std::size_t size : {4U, 10U, 20U, 40U, 80U}) {
        std::vector<double> hear_us;
        std::vector<double> ask_us;
        std::vector<double> kib;
        for (int turn = 0; turn < repeat; ++turn) {
            const double before = allocated_kib();
            capacity::shares tested(base::slot_id("zona-4-a"));
            std::set<base::slot_id> live;
            for (std::size_t peer = 0; peer < size; ++peer)
                live.insert(base::slot_id("peer-" + std::to_string(peer)));
            tested.set_entries(live);
            base::instant now(std::chrono::seconds(1));
            std::uint64_t sequence = 0;
            constexpr int rounds = 50;
            const double start = processor_now();
            for (int round = 0; round < rounds; ++round) {
                std::size_t number = 0;
                for (const base::slot_id peer : live) {
                    capacity::load_digest digest;
                    digest.sequence = ++sequence;
                    digest.complete = round == 0;
                    for (std::size_t at = 0; at < used; ++at)
                        digest.uses.push_back(
                            {base::upstream_id(
                                 "engine-" +
                                 std::to_string((number + at * 7) % upstreams)),
                             4,
                             4000,
                             false});
                    digest.demands.push_back({base::upstream_class_id("photo"),
                                              {1, 2, 3, 4},
                                              {4, 3, 2, 1}});
                    tested.on_load_digest(
                        peer, base::incarnation{1}, digest, now);
                    ++number;
                }
            }
            hear_us.push_back((processor_now() - start) * million /
                              static_cast<double>(rounds * size));
            kib.push_back(allocated_kib() - before);
            const double asked = processor_now();
            std::uint64_t sum = 0;
            for (int at = 0; at < asks; ++at)
                sum += tested.upstream_share(base::upstream_id("engine-7"),
                                             base::upstream_class_id("photo"),
                                             8,
                                             8 * upstreams,
                                             now);
            ask_us.push_back((processor_now() - asked) * million / asks);
            if (sum == 0 && size < 64)
                std::fputs("no places\n", stderr);
        }
        hear.add(static_cast<double>(size), hear_us);
        ask.add(static_cast<double>(size), ask_us);
        memory.add(static_cast<double>(size), kib);
    }
    hear.print();
    ask.print();
    memory.print();
}

// ---- Sharing in the core -------------------------------------------------

// A core with 20 peers in its data centre. Two of each workspace's five kinds
// have a limit that the entries share.
inline void measure_sharing(int repeat)
{
    constexpr std::size_t peers = 20;
    constexpr int digests = 40;
    series hear("core: a peer's digest heard", "workspaces", "us");
    series tell("core: own digest composed", "workspaces", "us");
    for (const std::size_t size : {10U, 100U, 500U, 1000U, 2100U}) {
        std::vector<double> hear_us;
        std::vector<double> tell_us;
        for (int turn = 0; turn < repeat; ++turn) {
            config::store store;
            store.apply(documents_of(size, 270));
            delivery::scheduler_options options;
            options.slot = base::slot_id("zona-4-a");
            options.incarnation = base::incarnation{1};
            options.data_centre = base::data_centre_id("zona-4");
            delivery::scheduler core(options);
            std::vector<delivery::action> actions;
            base::instant now(std::chrono::seconds(1));
            core.step(delivery::config_changed{store.current()}, now, actions);
            membership::instance_list list;
            list.revision = 1;
            for (std::size_t peer = 0; peer < peers; ++peer)
                list.instances.push_back({"peer-" + std::to_string(peer),
                                          membership::instance_type::entry,
                                          "zona-4",
                                          "127.0.0.1:1",
                                          membership::listed_state::live});
            core.step(delivery::instances_listed{list}, now, actions);
            const double start = processor_now();
            for (int at = 0; at < digests; ++at) {
                now += std::chrono::milliseconds(260);
                delivery::peer_load told;
                told.sender = base::slot_id(
                    "peer-" +
                    std::to_string(static_cast<std::size_t>(at) % peers));
                told.incarnation = base::incarnation{1};
                told.digest.sequence = static_cast<std::uint64_t>(at) + 1;
                told.digest.complete = true;
                told.digest.demands.push_back({base::upstream_class_id("photo"),
                                               {1, 2, 3, 4},
                                               {4, 3, 2, 1}});
                core.step(told, now, actions);
                actions.clear();
            }
            hear_us.push_back((processor_now() - start) * million / digests);
            const double composed = processor_now();
            for (int at = 0; at < digests; ++at) {
                core.step(delivery::load_due{}, now, actions);
                actions.clear();
            }
            tell_us.push_back((processor_now() - composed) * million / digests);
        }
        hear.add(static_cast<double>(size), hear_us);
        tell.add(static_cast<double>(size), tell_us);
    }
    hear.print();
    tell.print();
}

// ---- The peer list ------------------------------------------------------

// Entries in 17 data centres, as many upstreams each as the target has (13).
inline void measure_roster(int repeat)
{
    constexpr int ticks = 500;
    series tick("membership: a tick", "entries listed", "us");
    series adopt("membership: a new list", "entries listed", "us");
    series memory("membership: memory", "entries listed", "KiB");
    for (const std::size_t size : {50U, 100U, 200U, 350U}) {
        membership::instance_list list;
        list.revision = 1;
        for (std::size_t at = 0; at < size * 14; ++at) {
            const bool entry = at < size;
            list.instances.push_back({"instance-" + std::to_string(at),
                                      entry
                                          ? membership::instance_type::entry
                                          : membership::instance_type::upstream,
                                      "zona-" + std::to_string(at % 17),
                                      "10.0.0.1:7000",
                                      membership::listed_state::live});
        }
        std::vector<double> tick_us;
        std::vector<double> adopt_us;
        std::vector<double> kib;
        for (int turn = 0; turn < repeat; ++turn) {
            const double before = allocated_kib();
            membership::roster_options options;
            options.slot = base::slot_id("instance-0");
            options.incarnation = base::incarnation{1};
            options.data_centre = base::data_centre_id("zona-0");
            membership::roster tested(options);
            base::instant now(std::chrono::seconds(1));
            membership::instance_list copy = list;
            const double start = processor_now();
            tested.update_list(std::move(copy), now);
            adopt_us.push_back((processor_now() - start) * million);
            kib.push_back(allocated_kib() - before);
            const double ticked = processor_now();
            for (int at = 0; at < ticks; ++at) {
                now += std::chrono::milliseconds(100);
                tested.tick(now);
            }
            tick_us.push_back((processor_now() - ticked) * million / ticks);
        }
        const auto at = static_cast<double>(size);
        tick.add(at, tick_us);
        adopt.add(at, adopt_us);
        memory.add(at, kib);
    }
    tick.print();
    adopt.print();
    memory.print();
}

} // namespace bench
