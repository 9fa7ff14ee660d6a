#include <greengagedrum/telemetry/metric_descriptions.hpp>
#include <greengagedrum/telemetry/status_json.hpp>

#include <nlohmann/json.hpp>

#include <string>

namespace greengagedrum::telemetry
{

namespace
{

using json = nlohmann::json;

constexpr std::string_view prefix = "greengagedrum_";

std::string short_name(const metric_description& metric)
{
    return std::string(metric.name.substr(prefix.size()));
}

double milliseconds(base::duration value)
{
    return std::chrono::duration<double, std::milli>(value).count();
}

json reasons_json(const std::map<base::reason, std::uint64_t>& reasons)
{
    json result = json::object();
    for (const auto& [why, count] : reasons)
        result[std::string(to_string(why))] = count;
    return result;
}

json series_json(const series_key& key, const series_metrics& series)
{
    return {{"workspace", key.workspace},
            {"tier", to_string(key.tier)},
            {"kind", key.kind},
            {"answered", series.answered},
            {"not_run", reasons_json(series.not_run)},
            {"may_have_run", reasons_json(series.may_have_run)},
            {"queue_wait_ms", to_json(series.queue_wait)},
            {"first_token_ms", to_json(series.first_token)},
            {"token_gap_ms", to_json(series.token_gap)},
            {"request_ms", to_json(series.total)}};
}

json tier_json(const tier_metrics& tier)
{
    json result = {{short_name(good_answers_metric), tier.good_answers},
                   {short_name(good_tokens_metric), tier.good_tokens}};
    for (std::size_t i = 0; i < tier_counter_count; ++i) {
        const auto what = static_cast<tier_counter>(i);
        result[short_name(describe(what))] = tier.counters.at(i);
    }
    return result;
}

json counters_json(const registry& measured)
{
    json result = {{short_name(folded_metric), measured.folded()},
                   {short_name(dropped_metric), measured.dropped()}};
    for (std::size_t i = 0; i < counter_count; ++i) {
        const auto what = static_cast<counter>(i);
        result[short_name(describe(what))] = measured.of(what);
    }
    return result;
}

json gauges_json(const registry& measured)
{
    json result = json::object();
    for (std::size_t i = 0; i < gauge_count; ++i) {
        const auto what = static_cast<gauge>(i);
        result[short_name(describe(what))] = measured.of(what);
    }
    return result;
}

} // namespace

json to_json(const latency_histogram& histogram)
{
    json result = {{"count", histogram.count()}};
    if (histogram.count() == 0)
        return result;
    result["p50"] = milliseconds(*histogram.percentile(0.50));
    result["p95"] = milliseconds(*histogram.percentile(0.95));
    result["p99"] = milliseconds(*histogram.percentile(0.99));
    result["max"] = milliseconds(*histogram.greatest());
    return result;
}

json to_json(const registry& measured)
{
    json result = {{"tiers", json::object()},
                   {"counters", counters_json(measured)},
                   {"gauges", gauges_json(measured)},
                   {"series", json::array()}};
    for (const base::tier tier : base::all_tiers) {
        result["tiers"][std::string(to_string(tier))] =
            tier_json(measured.of(tier));
    }
    for (const auto& [key, series] : measured.series())
        result["series"].push_back(series_json(key, series));
    return result;
}

} // namespace greengagedrum::telemetry
