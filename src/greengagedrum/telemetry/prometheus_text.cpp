#include <greengagedrum/telemetry/metric_descriptions.hpp>
#include <greengagedrum/telemetry/prometheus_text.hpp>

#include <array>
#include <cstdio>

namespace greengagedrum::telemetry
{

namespace
{

constexpr unsigned bins_per_bucket = 5;
static_assert(latency_histogram::bin_count % bins_per_bucket == 0);

// Appends samples to one text.
class text_writer
{
public:
    void head(const metric_description& metric, std::string_view type)
    {
        this->text.append("# HELP ").append(metric.name).append(" ");
        this->text.append(metric.help).append("\n# TYPE ");
        this->text.append(metric.name).append(" ").append(type).append("\n");
    }

    // `labels` is "a=\"b\",c=\"d\"" or empty.
    void sample(std::string_view name,
                std::string_view suffix,
                std::string_view labels,
                std::string_view value)
    {
        this->text.append(name).append(suffix);
        if (!labels.empty())
            this->text.append("{").append(labels).append("}");
        this->text.append(" ").append(value).append("\n");
    }

    std::string text;
};

std::string number(double value)
{
    std::array<char, 32> buffer{};
    const int length =
        std::snprintf(buffer.data(), buffer.size(), "%.10g", value);
    return {buffer.data(), static_cast<std::size_t>(length)};
}

std::string label(std::string_view name, std::string_view value)
{
    return std::string(name) + "=\"" + escape_label(value) + "\"";
}

std::string series_labels(const series_key& key)
{
    return label("workspace", key.workspace) + "," +
           label("tier", to_string(key.tier)) + "," + label("kind", key.kind);
}

void write_reasons(text_writer& out,
                   const std::string& labels,
                   base::run_state run,
                   const std::map<base::reason, std::uint64_t>& reasons)
{
    for (const auto& [why, count] : reasons) {
        const std::string more = labels + "," +
                                 label("verdict", to_string(run)) + "," +
                                 label("reason", to_string(why));
        out.sample(requests_metric.name, "", more, std::to_string(count));
    }
}

void write_requests(text_writer& out, const registry& measured)
{
    out.head(requests_metric, "counter");
    for (const auto& [key, series] : measured.series()) {
        const std::string labels = series_labels(key);
        const std::string answered =
            labels + "," + label("verdict", "answered") + "," +
            label("reason", to_string(base::reason::none));
        out.sample(requests_metric.name,
                   "",
                   answered,
                   std::to_string(series.answered));
        write_reasons(out, labels, base::run_state::not_run, series.not_run);
        write_reasons(
            out, labels, base::run_state::may_have_run, series.may_have_run);
    }
}

void write_histogram(text_writer& out,
                     std::string_view name,
                     const std::string& labels,
                     const latency_histogram& histogram)
{
    for (const auto& bucket : histogram.cumulative(bins_per_bucket)) {
        std::string bounded = labels;
        bounded.append(",").append(label("le", number(bucket.upper_seconds)));
        out.sample(name, "_bucket", bounded, std::to_string(bucket.count));
    }
    const std::string count = std::to_string(histogram.count());
    out.sample(name, "_bucket", labels + "," + label("le", "+Inf"), count);
    out.sample(name, "_sum", labels, number(histogram.sum_seconds()));
    out.sample(name, "_count", labels, count);
}

void write_histograms(text_writer& out,
                      const registry& measured,
                      const metric_description& metric,
                      latency_histogram series_metrics::*member)
{
    out.head(metric, "histogram");
    for (const auto& [key, series] : measured.series())
        write_histogram(out, metric.name, series_labels(key), series.*member);
}

template <class Value>
void write_by_tier(text_writer& out,
                   const metric_description& metric,
                   const Value& value_of)
{
    out.head(metric, "counter");
    for (const base::tier tier : base::all_tiers) {
        out.sample(metric.name,
                   "",
                   label("tier", to_string(tier)),
                   std::to_string(value_of(tier)));
    }
}

void write_tiers(text_writer& out, const registry& measured)
{
    write_by_tier(out, good_answers_metric, [&measured](base::tier tier) {
        return measured.of(tier).good_answers;
    });
    write_by_tier(out, good_tokens_metric, [&measured](base::tier tier) {
        return measured.of(tier).good_tokens;
    });
    for (std::size_t i = 0; i < tier_counter_count; ++i) {
        const auto metric = describe(static_cast<tier_counter>(i));
        write_by_tier(out, metric, [&measured, i](base::tier tier) {
            return measured.of(tier).counters.at(i);
        });
    }
}

void write_single(text_writer& out,
                  const metric_description& metric,
                  std::string_view type,
                  const std::string& value)
{
    out.head(metric, type);
    out.sample(metric.name, "", "", value);
}

void write_process(text_writer& out, const registry& measured)
{
    for (std::size_t i = 0; i < counter_count; ++i) {
        const auto what = static_cast<counter>(i);
        write_single(
            out, describe(what), "counter", std::to_string(measured.of(what)));
    }
    for (std::size_t i = 0; i < gauge_count; ++i) {
        const auto what = static_cast<gauge>(i);
        write_single(out, describe(what), "gauge", number(measured.of(what)));
    }
    write_single(
        out, series_metric, "gauge", std::to_string(measured.series().size()));
    write_single(
        out, folded_metric, "counter", std::to_string(measured.folded()));
    write_single(
        out, dropped_metric, "counter", std::to_string(measured.dropped()));
}

} // namespace

std::string prometheus_text(const registry& measured)
{
    text_writer out;
    write_requests(out, measured);
    write_histograms(
        out, measured, queue_wait_metric, &series_metrics::queue_wait);
    write_histograms(
        out, measured, first_token_metric, &series_metrics::first_token);
    write_histograms(
        out, measured, token_gap_metric, &series_metrics::token_gap);
    write_histograms(out, measured, request_metric, &series_metrics::total);
    write_tiers(out, measured);
    write_process(out, measured);
    return std::move(out.text);
}

std::string escape_label(std::string_view value)
{
    std::string escaped;
    escaped.reserve(value.size());
    for (const char c : value) {
        if (c == '\n') {
            escaped += "\\n";
            continue;
        }
        if (c == '\\' || c == '"')
            escaped += '\\';
        escaped += c;
    }
    return escaped;
}

} // namespace greengagedrum::telemetry
