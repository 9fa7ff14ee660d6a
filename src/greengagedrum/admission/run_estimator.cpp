#include <greengagedrum/admission/run_estimator.hpp>

#include <algorithm>

namespace greengagedrum::admission
{

namespace
{
constexpr double learning_rate = 0.1; // weight of the latest request
constexpr double min_factor = 0.01;
constexpr double max_factor = 100.0;
constexpr double min_nominal_seconds = 1e-3; // for services without tokens
} // namespace

void run_estimator::set_fleet(const config::fleet& fleet)
{
    std::map<base::upstream_class_id, class_estimate> updated;
    for (const config::upstream_entry& entry : fleet.upstreams) {
        const auto known = this->classes.find(entry.upstream_class);
        const auto [position, inserted] =
            updated.try_emplace(entry.upstream_class, class_estimate{});
        class_estimate& estimate = position->second;
        if (inserted && known != this->classes.end())
            estimate.factor = known->second.factor;
        // Uses the slowest upstream of the class, so that the initial error has
        // the same sign for all upstreams. The learned factor corrects the
        // error.
        if (entry.prefill_tokens_per_second > 0)
            estimate.prefill = inserted
                                   ? entry.prefill_tokens_per_second
                                   : std::min(estimate.prefill,
                                              entry.prefill_tokens_per_second);
        if (entry.decode_tokens_per_second > 0)
            estimate.decode =
                inserted
                    ? entry.decode_tokens_per_second
                    : std::min(estimate.decode, entry.decode_tokens_per_second);
    }
    this->classes = std::move(updated);
}

const run_estimator::class_estimate&
run_estimator::estimate_of(base::upstream_class_id upstream_class) const
{
    const auto found = this->classes.find(upstream_class);
    return found == this->classes.end() ? this->default_estimate
                                        : found->second;
}

double run_estimator::nominal_seconds(const class_estimate& estimate,
                                      const base::request_spec& item)
{
    return std::max(min_nominal_seconds,
                    item.prompt_tokens / estimate.prefill +
                        item.output_tokens / estimate.decode);
}

base::duration
run_estimator::expected_run_time(const base::request_spec& item) const
{
    const class_estimate& estimate = this->estimate_of(item.upstream_class);
    const double seconds = estimate.factor * nominal_seconds(estimate, item);
    return base::duration(static_cast<base::duration::rep>(
        seconds * base::microseconds_per_second));
}

base::duration
run_estimator::expected_prefill_time(const base::request_spec& item) const
{
    base::request_spec prompt = item;
    prompt.output_tokens = 0;
    return this->expected_run_time(prompt);
}

void run_estimator::observe(const base::request_spec& item,
                            base::duration actual)
{
    const auto found = this->classes.find(item.upstream_class);
    if (found == this->classes.end())
        return;
    class_estimate& estimate = found->second;
    const double seconds =
        static_cast<double>(actual.count()) / base::microseconds_per_second;
    const double ratio = std::clamp(
        seconds / nominal_seconds(estimate, item), min_factor, max_factor);
    estimate.factor += learning_rate * (ratio - estimate.factor);
}

} // namespace greengagedrum::admission
