// Whether one upstream is suspected of being slow, silent or gone.
//
// A suspect gets no work but probes, at intervals that double while it stays
// bad, so that it is found well again without much being lost on it. What is
// slow is judged by ratios (taken over expected), so that unlike engines, long
// prompts and large batches are all judged alike.
#pragma once

#include <greengagedrum/base/request_spec.hpp>
#include <greengagedrum/base/time.hpp>

#include <cstdint>

namespace greengagedrum::placement
{

enum class suspicion : std::uint8_t { none, slow, silent, refused };

class straggler_watch
{
public:
    // `tokens` took `ratio` times as long as expected. True when the suspicion
    // changed.
    bool measured(double tokens, double ratio, base::instant now);

    void failed(suspicion cause, base::instant now);

    // Something was sent to it as a probe.
    void probed(base::instant now);

    bool suspected(base::instant now) const
    {
        return this->cause != suspicion::none && now < this->forgiven_at;
    }

    // May this request be the probe that is due?
    bool may_probe(const base::request_spec& item, base::instant now) const;

    suspicion why() const { return this->cause; }

private:
    suspicion cause = suspicion::none;
    double tokens = 0; // of the window
    double excess = 0; // sum of tokens times ratio
    base::duration interval{0};
    base::instant next_probe;
    base::instant forgiven_at;
};

} // namespace greengagedrum::placement
