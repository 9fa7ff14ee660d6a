// When one entry has run and been in touch with the others, so that it knows
// what they know.
#pragma once

#include "coroutine.hpp"

#include <algorithm>
#include <vector>

namespace soak
{

class entry_contact
{
public:
    // The process knows nothing of before.
    void restart(clock::time_point now)
    {
        this->started = now;
        this->spans.clear();
        if (this->causes == 0)
            this->spans.push_back({now});
    }
    // Several causes may keep it out of touch at a time.
    void lose(clock::time_point now)
    {
        if (this->causes++ == 0 && !this->spans.empty())
            this->spans.back().end = now;
    }
    void regain(clock::time_point now)
    {
        if (--this->causes == 0)
            this->spans.push_back({now});
    }

    // In touch, without a gap, for `least` after the event.
    bool was_told(clock::time_point event,
                  clock::duration least,
                  clock::time_point now) const
    {
        return std::any_of(
            this->spans.begin(), this->spans.end(), [&](const span& one) {
                return std::min(one.end, now) - std::max(one.begin, event) >=
                       least;
            });
    }
    bool ran_at(clock::time_point event) const { return this->started < event; }

private:
    struct span {
        clock::time_point begin;
        clock::time_point end = clock::time_point::max();
    };

    std::size_t causes = 0;
    clock::time_point started = clock::time_point::max();
    std::vector<span> spans; // in touch, of this process
};

} // namespace soak
