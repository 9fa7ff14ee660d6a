// How many tokens of other prompts an engine processes between two events of a
// stream.
//
// An engine processes a new prompt in chunks that alternate with the decoding
// of running streams, so each long prompt delays the streams beside it. The
// number of prompt tokens in one such pause is bounded (chunk size times steps
// per event), but engines do not report the bound. It is learned from observed
// pauses, converted to prompt tokens at each engine's own speed so that all
// engines of the service contribute to the same number.
#pragma once

namespace greengagedrum::traffic
{

class prefill_interference
{
public:
    // Records a pause in which this many prompt tokens could have been
    // processed.
    void add_pause(double tokens);

    // The number of tokens that hardly any pause exceeds; 0 while unknown.
    double high_estimate() const { return this->high; }

private:
    double high = 0;
};

} // namespace greengagedrum::traffic
