#include <greengagedrum/admission/run_estimator.hpp>

#include <algorithm>

namespace greengagedrum::admission
{

namespace
{
constexpr double learning_rate = 0.1; // weight of the newest request
constexpr double factor_least = 0.01;
constexpr double factor_most = 100.0;
constexpr double nominal_least = 1e-3; // seconds; a plain service's floor
} // namespace

void run_estimator::set_fleet(const config::fleet& fleet)
{
    std::map<base::upstream_class_id, speed> kept;
    for (const config::upstream_entry& entry : fleet.upstreams) {
        const auto known = this->classes.find(entry.upstream_class);
        const auto [place, fresh] =
            kept.try_emplace(entry.upstream_class, speed{});
        speed& own = place->second;
        if (fresh && known != this->classes.end())
            own.factor = known->second.factor;
        // The slowest of the class, so that the first guess errs alike for
        // all; the factor corrects it.
        if (entry.prefill_tokens_per_second > 0)
            own.prefill =
                fresh ? entry.prefill_tokens_per_second
                      : std::min(own.prefill, entry.prefill_tokens_per_second);
        if (entry.decode_tokens_per_second > 0)
            own.decode =
                fresh ? entry.decode_tokens_per_second
                      : std::min(own.decode, entry.decode_tokens_per_second);
    }
    this->classes = std::move(kept);
}

const run_estimator::speed&
run_estimator::of(base::upstream_class_id upstream_class) const
{
    const auto found = this->classes.find(upstream_class);
    return found == this->classes.end() ? this->unknown : found->second;
}

double run_estimator::nominal(const speed& own, const base::request_spec& item)
{
    return std::max(nominal_least,
                    item.prompt_tokens / own.prefill +
                        item.output_tokens / own.decode);
}

base::duration
run_estimator::expected_run_time(const base::request_spec& item) const
{
    const speed& own = this->of(item.upstream_class);
    const double seconds = own.factor * nominal(own, item);
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
    speed& own = found->second;
    const double seconds =
        static_cast<double>(actual.count()) / base::microseconds_per_second;
    const double ratio =
        std::clamp(seconds / nominal(own, item), factor_least, factor_most);
    own.factor += learning_rate * (ratio - own.factor);
}

} // namespace greengagedrum::admission
