// The verdict of a request that ends before a claim was made for it.
#pragma once

#include <greengagedrum/delivery/messages.hpp>

namespace greengagedrum::delivery
{

// True when an earlier request with the same ticket or key may have run
// through another entry.
inline bool may_have_run_elsewhere(const request_arrived& what)
{
    return what.subject &&
           what.spec.repetition == base::repetition::at_most_once;
}

// Reports may_have_run for a request that may be a repeat: without a claim this
// entry can't know whether the first one ran. Reporting not_run would be wrong
// when the first request ran, its answer was lost, and the repeat reaches an
// entry that is stopping or full; the caller would then run it twice.
inline base::verdict unclaimed_verdict(const request_arrived& what,
                                       base::reason why,
                                       base::duration retry_after)
{
    base::verdict out = base::not_run(why, retry_after);
    if (may_have_run_elsewhere(what))
        out.run = base::run_state::may_have_run;
    return out;
}

} // namespace greengagedrum::delivery
