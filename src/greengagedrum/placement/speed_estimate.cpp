#include <greengagedrum/placement/speed_estimate.hpp>

#include <algorithm>

namespace greengagedrum::placement
{

namespace
{

constexpr double prior_seconds = 0.25; // weight of the document's prefill speed
constexpr double memory_seconds = 2;   // of prefill
constexpr double prior_share = 0.125;  // of the memory: the document's figure

// One sample moves the prefill speed no further than this: its first token
// may have waited for work of others that is not known here.
constexpr double sample_bound = 8;

// Relative slow-down for each other stream, of an engine not measured yet.
constexpr double usual_slope = 0.02;
constexpr double slope_weight = 64; // tokens, at one other stream

} // namespace

void prefill_estimate::start(double tokens_per_second)
{
    this->seconds_sum = prior_seconds;
    this->tokens_sum = prior_seconds * tokens_per_second;
    this->solve();
}

void prefill_estimate::solve()
{
    this->quotient = this->tokens_sum / this->seconds_sum;
    this->inverse = this->seconds_sum / this->tokens_sum;
}

void prefill_estimate::add(double tokens, double seconds)
{
    if (tokens <= 0 || seconds <= 0)
        return;
    const double expected = tokens / this->speed();
    seconds =
        std::clamp(seconds, expected / sample_bound, expected * sample_bound);
    const double kept = memory_seconds / (memory_seconds + seconds);
    this->tokens_sum = (this->tokens_sum + tokens) * kept;
    this->seconds_sum = (this->seconds_sum + seconds) * kept;
    this->solve();
}

void decode_estimate::start(double tokens_per_second, double tokens_kept)
{
    *this = decode_estimate();
    this->memory = tokens_kept;
    this->weight = prior_share * tokens_kept;
    this->y = this->weight / tokens_per_second;
    this->solve();
}

void decode_estimate::add(double tokens, double seconds, double others)
{
    if (tokens <= 0 || seconds <= 0)
        return;
    const double kept = this->memory / (this->memory + tokens);
    this->weight = (this->weight + tokens) * kept;
    this->x = (this->x + tokens * others) * kept;
    this->y = (this->y + seconds) * kept;
    this->xx = (this->xx + tokens * others * others) * kept;
    this->xy = (this->xy + seconds * others) * kept;
    this->measured += tokens;
    this->solve();
}

// Least squares of the line, with a pull of the slope to the usual one.
void decode_estimate::solve()
{
    const double mean_x = this->x / this->weight;
    const double mean_y = this->y / this->weight;
    const double expected = usual_slope * mean_y / (1 + usual_slope * mean_x);
    const double spread = this->xx - this->weight * mean_x * mean_x;
    const double common = this->xy - this->weight * mean_x * mean_y;
    this->slope = (common + slope_weight * expected) / (spread + slope_weight);
    const double most = mean_x > 0 ? mean_y / (1 + mean_x) : 4 * expected;
    this->slope = std::clamp(this->slope, 0.0, most);
    this->alone = mean_y - this->slope * mean_x;
}

} // namespace greengagedrum::placement
