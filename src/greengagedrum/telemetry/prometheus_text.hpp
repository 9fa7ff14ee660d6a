// The body of /metrics: Prometheus' text format, version 0.0.4.
#pragma once

#include <greengagedrum/telemetry/registry.hpp>

#include <string>
#include <string_view>

namespace greengagedrum::telemetry
{

inline constexpr std::string_view prometheus_content_type =
    "text/plain; version=0.0.4; charset=utf-8";

// Histograms have four buckets a decade from 10 us to 1,000 s; the finer bins
// serve the percentiles of /status. A series takes about 16 KB of text.
std::string prometheus_text(const registry& measured);

// A label's value with backslash, quote and line feed escaped.
std::string escape_label(std::string_view value);

} // namespace greengagedrum::telemetry
