#include <greengagedrum/shutdown/loop_turns.hpp>

#include <algorithm>

namespace greengagedrum::shutdown
{

loop_turns::loop_turns(base::instant now, base::duration suspended)
    : before_last{now, suspended}, last{now, suspended}
{
}

void loop_turns::on_turn(base::instant now, base::duration suspended)
{
    this->before_last = this->last;
    this->last = {now, suspended};
}

signal_window loop_turns::signal_noticed(base::instant now,
                                         base::duration suspended) const
{
    // The two clocks are not read at once, so the difference may be negative.
    const base::duration suspended_since =
        std::max(base::duration(0), suspended - this->before_last.suspended);
    return {this->before_last.at - suspended_since, now};
}

} // namespace greengagedrum::shutdown
