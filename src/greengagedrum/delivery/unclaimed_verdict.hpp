// The verdict of a request that ended before a claim was made for it.
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

// The failure: a receipt runs, its answer is lost, and the repeat reaches an
// entry that is stopping or full; told not_run, the clerk prints it again.
// Without a claim nobody here can know that it did not run.
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
