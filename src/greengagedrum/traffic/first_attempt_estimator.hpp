// Tells callers that ask for the first time from those that were refused before
// and have come back.
//
// A caller's objective counts from its first try, so one that comes back has
// missed it already; taken for a fresh one it makes another late. Nothing in a
// request says that it is a second try, but the time that its caller still
// waits is shorter than fresh callers bring to that kind. What those bring is
// learnt per kind while nobody is refused, for then all are fresh.
#pragma once

#include <greengagedrum/base/ids.hpp>
#include <greengagedrum/base/time.hpp>

#include <unordered_map>

namespace greengagedrum::traffic
{

class first_attempt_estimator
{
public:
    // A caller asked that waits for so long still.
    void asked(base::kind_id kind, base::duration time_left, base::instant now);

    // Callers may come back from now on: one was refused here, or requests
    // wait elsewhere.
    void disturbed(base::instant now) { this->disturbed_at = now; }

    bool came_back(base::kind_id kind, base::duration time_left) const;

private:
    // Seconds that hardly any fresh caller of a kind falls short of.
    std::unordered_map<base::kind_id, double> least;
    base::instant disturbed_at;
};

} // namespace greengagedrum::traffic
