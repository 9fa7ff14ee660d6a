// Distinguishes first attempts from callers that retry after a refusal.
//
// A caller's objective counts from its first attempt, so a caller that retries
// has already missed it. Treated as a first attempt, it would delay a request
// that can still meet its objective. Requests do not say that they are retries,
// but the time left of a retry is shorter than that of first attempts of its
// kind. The usual time left is learned for each kind while no caller is
// refused, since all requests are first attempts then.
#pragma once

#include <greengagedrum/base/ids.hpp>
#include <greengagedrum/base/time.hpp>

#include <unordered_map>

namespace greengagedrum::traffic
{

class first_attempt_estimator
{
public:
    // Records a request whose caller waits for another `time_left`.
    void
    record(base::kind_id kind, base::duration time_left, base::instant now);

    // Retries may arrive from now on, because a request was refused here or
    // requests are queued at peers.
    void note_refusals(base::instant now) { this->refusals_at = now; }

    bool is_retry(base::kind_id kind, base::duration time_left) const;

private:
    // Seconds of time left that hardly any first attempt of the kind falls
    // below.
    std::unordered_map<base::kind_id, double> least;
    base::instant refusals_at;
};

} // namespace greengagedrum::traffic
