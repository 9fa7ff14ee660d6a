#include <greengagedrum/daemon/measurements.hpp>

#include <algorithm>

namespace greengagedrum::daemon
{

namespace
{

void add_tiers(const delivery::scheduler_counters& from,
               telemetry::registry& into)
{
    using telemetry::tier_counter;
    for (const base::tier tier : base::all_tiers) {
        const std::size_t at = base::index_of(tier);
        const auto add = [&](tier_counter what, std::uint64_t amount) {
            into.add(telemetry::tier_count{what, tier, amount});
        };
        add(tier_counter::sheds, from.shed.at(at));
        add(tier_counter::retries, from.retried_by_tier.at(at));
        add(tier_counter::resumes, from.resumed_by_tier.at(at));
        add(tier_counter::wasted_prefill_tokens,
            from.prefill_wasted_by_tier.at(at));
    }
}

void add_peers(const peer_status& from, telemetry::registry& into)
{
    using telemetry::counter;
    peers::peer_counters sums;
    for (const auto& [slot, one] : from.counters) {
        sums.bad_frames += one.bad_frames;
        sums.traffic.bytes_in += one.traffic.bytes_in;
        sums.traffic.bytes_out += one.traffic.bytes_out;
    }
    const auto linked =
        std::count_if(from.peers.begin(),
                      from.peers.end(),
                      [](const auto& one) { return one.linked; });
    into.add(
        telemetry::process_count{counter::peer_frames_bad, sums.bad_frames});
    into.add(telemetry::process_count{counter::peer_bytes_sent,
                                      sums.traffic.bytes_out});
    into.add(telemetry::process_count{counter::peer_bytes_received,
                                      sums.traffic.bytes_in});
    into.add(telemetry::gauge_set{telemetry::gauge::peers_linked,
                                  static_cast<double>(linked)});
}

} // namespace

void add_current(const current_facts& facts, telemetry::registry& into)
{
    using telemetry::counter;
    using telemetry::gauge;
    const auto count = [&into](counter what, std::uint64_t amount) {
        into.add(telemetry::process_count{what, amount});
    };
    const auto set = [&into](gauge what, double value) {
        into.add(telemetry::gauge_set{what, value});
    };
    const auto number = [](std::uint64_t value) {
        return static_cast<double>(value);
    };
    const decision_status& core = facts.core;
    add_tiers(core.counters, into);
    add_peers(facts.peers, into);
    count(counter::documents_refused, facts.documents_refused);
    count(counter::platform_calls, facts.platform_calls);
    count(counter::platform_failures, facts.platform_failures);
    set(gauge::config_age_seconds,
        std::chrono::duration<double>(facts.config_age).count());
    set(gauge::config_revision, number(facts.config_revision));
    set(gauge::decision_ring_depth, number(facts.ring_depth));
    set(gauge::requests_waiting, number(core.waiting));
    set(gauge::requests_in_flight, number(core.in_flight - core.waiting));
    set(gauge::upstreams_live, number(core.upstreams_live));
    set(gauge::log_lines_dropped, number(facts.log_lines_dropped));
    set(gauge::stopping, facts.stopping ? 1 : 0);
}

} // namespace greengagedrum::daemon
