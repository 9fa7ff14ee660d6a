// How early a signal may have been sent that the event loop notices now.
#pragma once

#include <greengagedrum/shutdown/stop_schedule.hpp>

namespace greengagedrum::shutdown
{

// `suspended`: how long the machine has been suspended so far, counted from
// any point. The loop's clock stops meanwhile.
class loop_turns
{
public:
    loop_turns(base::instant now, base::duration suspended);

    void on_turn(base::instant now, base::duration suspended);

    signal_window signal_noticed(base::instant now,
                                 base::duration suspended) const;

private:
    struct turn {
        base::instant at;
        base::duration suspended;
    };

    // The last turn may have begun with the signal pending already, so only
    // the one before it shows that there was none.
    turn before_last;
    turn last;
};

} // namespace greengagedrum::shutdown
