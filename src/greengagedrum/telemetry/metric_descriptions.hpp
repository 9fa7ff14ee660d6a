// Names and help of every metric, as /metrics and the operators' page show
// them.
#pragma once

#include <greengagedrum/telemetry/messages.hpp>

#include <string_view>
#include <vector>

namespace greengagedrum::telemetry
{

struct metric_description {
    std::string_view name; // with its unit: "..._seconds", "..._total"
    std::string_view help;
};

metric_description describe(tier_counter what);
metric_description describe(counter what);
metric_description describe(gauge what);

inline constexpr metric_description requests_metric{
    "greengagedrum_requests_total", "Requests ended, by verdict and reason."};
inline constexpr metric_description queue_wait_metric{
    "greengagedrum_queue_wait_seconds", "From arrival to first dispatch."};
inline constexpr metric_description first_token_metric{
    "greengagedrum_first_token_seconds", "From arrival to the first token."};
inline constexpr metric_description token_gap_metric{
    "greengagedrum_token_gap_seconds", "From a token to the next."};
inline constexpr metric_description request_metric{
    "greengagedrum_request_seconds",
    "From arrival to the end, whatever the verdict."};
inline constexpr metric_description good_answers_metric{
    "greengagedrum_good_answers_total",
    "Whole answers within their deadline: the goodput."};
inline constexpr metric_description good_tokens_metric{
    "greengagedrum_good_tokens_total",
    "Tokens of whole answers within their deadline."};
inline constexpr metric_description series_metric{
    "greengagedrum_metric_series",
    "Combinations of workspace, tier and kind with metrics of their own."};
inline constexpr metric_description folded_metric{
    "greengagedrum_metric_folded_total",
    "Requests counted under workspace other for want of series."};
inline constexpr metric_description dropped_metric{
    "greengagedrum_measurements_dropped_total",
    "Measurements lost by a full ring."};

// All of the above.
std::vector<metric_description> all_metrics();

} // namespace greengagedrum::telemetry
