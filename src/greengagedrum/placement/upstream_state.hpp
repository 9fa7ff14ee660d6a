// What this instance knows of one upstream: its own sends (exact), what others
// have there (aged), its speeds (learnt) and whether it is suspected.
//
// Estimates only. It chooses nothing and knows no other upstream, except for
// the usual speed of its generation, which it is told.
#pragma once

#include <greengagedrum/base/ids.hpp>
#include <greengagedrum/base/request_spec.hpp>
#include <greengagedrum/config/fleet.hpp>
#include <greengagedrum/placement/foreign_load.hpp>
#include <greengagedrum/placement/messages.hpp>
#include <greengagedrum/placement/seconds.hpp>
#include <greengagedrum/placement/sending.hpp>
#include <greengagedrum/placement/speed_estimate.hpp>
#include <greengagedrum/placement/straggler_watch.hpp>

#include <algorithm>
#include <cstdint>
#include <deque>
#include <vector>

namespace greengagedrum::placement
{

// Seconds from now.
struct time_estimate {
    double first_token = 0;
    double finish = 0;
};

class upstream_state
{
public:
    explicit upstream_state(const config::upstream_entry& given);

    // The document changed; what was learnt stays.
    void update(const config::upstream_entry& given);

    bool holds(base::model_id model) const;

    // True when the models changed.
    bool reported(const load_report& report, base::instant now);

    // `prompt`: tokens to be prefilled; `output`: expected.
    time_estimate
    estimate(double prompt, double output, base::instant now) const;

    // Prompt tokens not yet prefilled, of all.
    double backlog(base::instant now) const;

    void sent(base::dispatch_id dispatch, sending& what, base::instant now);
    void progressed(base::dispatch_id dispatch,
                    sending& what,
                    std::uint32_t tokens,
                    base::instant now);
    void
    ended(base::dispatch_id dispatch, const sending& what, base::instant now);

    // Suspected, or its oldest prompt is long overdue.
    bool suspected(base::instant now) const
    {
        return this->watch.suspected(now) || now > this->overdue_at;
    }

    // What every choice reads comes first, so that it lies together.
    base::upstream_id id;
    std::uint32_t allowance = 0; // requests of ours at once
    std::uint32_t in_flight = 0; // ours, now
    straggler_watch watch;
    prefill_estimate prefill;
    foreign_load foreign;
    decode_estimate decode;    // quick: the last few dozen tokens
    decode_estimate usual;     // slow: what is normal for it
    double generation_gap = 0; // usual seconds a token of its like; 0: unknown
    bool listed = false;       // live in the newest instance list
    bool published = true;     // in the fleet in force
    std::uint32_t reported_load = 0; // running and waiting, as last told
    config::upstream_entry entry;

private:
    struct pending {
        base::dispatch_id dispatch;
        double tokens = 0;
        base::instant due; // well past its estimate
    };
    struct change {
        base::instant at;
        int requests = 0;
        double tokens = 0;
    };

    double others(base::instant now) const;
    double normal_gap(double beside) const;
    void take_turn(base::instant now);
    void prefilled(base::dispatch_id dispatch, base::instant now);
    void learn_prefill(const sending& what, base::instant now);
    void learn_decode(sending& what, std::uint32_t tokens, base::instant now);
    void judge(double tokens, double ratio, base::instant now);
    void remember(int requests, double tokens, base::instant now);

    double places = 0;        // the document's most at once
    double prompt_tokens = 0; // of `prompts`, in all
    double turn_tokens = 0;   // of the first of them
    base::instant turn_at;    // when that one came to its turn
    base::instant overdue_at = base::instant::max();
    std::vector<pending> prompts;       // ours, not yet prefilled, in order
    std::vector<base::model_id> models; // held now
    std::deque<change> changes;         // ours, of the last seconds
};

// These run for every candidate of every choice.

inline double upstream_state::others(base::instant now) const
{
    return this->in_flight + this->foreign.requests(now);
}

inline double upstream_state::backlog(base::instant now) const
{
    const double speed = this->prefill.speed();
    double own = this->prompt_tokens;
    if (this->turn_tokens > 0)
        own -= std::min(seconds_of(now - this->turn_at) * speed,
                        this->turn_tokens);
    return own + this->foreign.backlog(now);
}

inline time_estimate
upstream_state::estimate(double prompt, double output, base::instant now) const
{
    const double running = this->others(now);
    const double beside = std::min(running, std::max(0.0, this->places - 1));
    const double gap = this->decode.gap(beside);
    double first = (this->backlog(now) + prompt) * this->prefill.seconds();
    // Beyond its places a request waits for others to end.
    if (running >= this->places && this->places > 0)
        first += (running - this->places + 1) / this->places * output * gap;
    return {first, first + output * gap};
}

} // namespace greengagedrum::placement
