// The sum of the amounts that were added within a sliding window.
#pragma once

#include <greengagedrum/base/time.hpp>

#include <cstddef>
#include <deque>
#include <vector>

namespace greengagedrum::quota
{

class window_sum
{
public:
    void add(double amount, base::instant now);
    // Adds an amount of an earlier time.
    void add_at(double amount, base::instant at);
    void drop_expired(base::duration window, base::instant now);

    double sum() const { return this->total; }
    double sum_before(base::instant at) const;

    // The sums of `count` equal parts of the window, the most recent first.
    std::vector<double>
    by_part(std::size_t count, base::duration window, base::instant now) const;

    // How long until `amount` has left the window; the whole window if it holds
    // less than that.
    base::duration time_until_left(double amount,
                                   base::duration window,
                                   base::instant now) const;

private:
    struct window_part {
        base::instant first;
        base::instant last;
        double amount = 0;
    };

    std::deque<window_part> parts;
    double total = 0;
};

} // namespace greengagedrum::quota
