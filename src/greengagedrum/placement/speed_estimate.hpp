// An upstream's speeds, learnt from streams in progress.
//
// Both start from the document's figure, held with a small weight, so that
// the first tokens already move them; both forget by what was measured, not by
// time, so that an idle engine keeps what is known of it.
#pragma once

namespace greengagedrum::placement
{

// Prompt tokens a second, all prompts of an engine together. A ratio of sums,
// so that a short prompt, whose time is mostly overhead, counts little.
class prefill_estimate
{
public:
    void start(double tokens_per_second);

    // `tokens` were prefilled within `seconds`.
    void add(double tokens, double seconds);

    double speed() const { return this->quotient; }

    // Of one token.
    double seconds() const { return this->inverse; }

private:
    void solve();

    double quotient = 1; // asked far more often than it changes
    double inverse = 1;
    double tokens_sum = 1;
    double seconds_sum = 1;
};

// Seconds a token of one stream, as a line over the number of streams beside
// it. The slope is drawn towards the usual one, as engines that always run
// the same batch say nothing about it.
class decode_estimate
{
public:
    // `memory`: tokens after which an older one counts a third.
    void start(double tokens_per_second, double memory);

    // `tokens` of one stream took `seconds` while `others` streams ran.
    void add(double tokens, double seconds, double others);

    double gap(double others) const
    {
        return this->alone + this->slope * others;
    }

    double learnt() const { return this->measured; } // tokens seen, in all

private:
    void solve();

    double alone = 1; // seconds a token
    double slope = 0; // seconds a token for each other stream
    double memory = 1;
    double weight = 0;
    double x = 0; // sums, each token weighing one
    double y = 0;
    double xx = 0;
    double xy = 0;
    double measured = 0;
};

} // namespace greengagedrum::placement
