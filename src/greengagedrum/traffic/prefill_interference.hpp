// How much of other prompts a service's engines read between two events of a
// stream.
//
// An engine reads a new prompt in pieces, in turns with the output of what
// runs there, so each long prompt that joins makes the streams beside it
// pause. What it reads in one such pause has a bound of its own (pieces times
// steps an event), which no engine tells: it is learnt from the pauses seen,
// put in prompt tokens at each engine's own speed so that all engines of the
// service teach the same number.
#pragma once

namespace greengagedrum::traffic
{

class prefill_interference
{
public:
    // A pause of which that many prompt tokens could have been read.
    void seen(double tokens);

    // Hardly any pause holds more; 0 while nothing is known.
    double most() const { return this->high; }

private:
    double high = 0;
};

} // namespace greengagedrum::traffic
