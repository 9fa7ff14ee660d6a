#include <greengagedrum/telemetry/registry.hpp>

namespace greengagedrum::telemetry
{

namespace
{

void count_verdict(series_metrics& series, const request_ended& ended)
{
    if (!ended.failed) {
        ++series.answered;
        return;
    }
    const bool ran = ended.failed->run == base::run_state::may_have_run;
    ++(ran ? series.may_have_run : series.not_run)[ended.failed->why];
}

} // namespace

registry::registry(std::size_t series_max) : series_limit(series_max) {}

void registry::add(const measurement& told)
{
    std::visit([this](const auto& one) { this->take(one); }, told);
}

void registry::set_dropped(std::uint64_t measurements)
{
    this->dropped_measurements = measurements;
}

void registry::take(const request_ended& ended)
{
    series_metrics& series = this->find_series(ended.series);
    count_verdict(series, ended);
    series.total.add(ended.total);
    if (ended.queue_wait)
        series.queue_wait.add(*ended.queue_wait);
    if (ended.first_token)
        series.first_token.add(*ended.first_token);
    for (const base::duration gap : ended.token_gaps)
        series.token_gap.add(gap);

    if (ended.failed || !ended.in_time)
        return;
    tier_metrics& tier = this->by_tier.at(base::index_of(ended.series.tier));
    ++tier.good_answers;
    tier.good_tokens += ended.tokens;
}

void registry::take(const tier_count& counted)
{
    tier_metrics& tier = this->by_tier.at(base::index_of(counted.tier));
    tier.counters.at(static_cast<std::size_t>(counted.what)) += counted.amount;
}

void registry::take(const process_count& counted)
{
    this->counters.at(static_cast<std::size_t>(counted.what)) += counted.amount;
}

void registry::take(const gauge_set& set)
{
    this->gauges.at(static_cast<std::size_t>(set.what)) = set.value;
}

series_metrics& registry::find_series(const series_key& key)
{
    const auto found = this->by_series.find(key);
    if (found != this->by_series.end())
        return found->second;
    if (this->by_series.size() < this->series_limit)
        return this->by_series[key];
    ++this->folded_requests;
    return this->by_series[{
        std::string(folded_name), key.tier, std::string(folded_name)}];
}

} // namespace greengagedrum::telemetry
