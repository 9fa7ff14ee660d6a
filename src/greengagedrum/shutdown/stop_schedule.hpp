// The phases of a graceful stop, from the signal to the exit of the process.
#pragma once

#include <greengagedrum/base/time.hpp>

#include <cstdint>

namespace greengagedrum::shutdown
{

enum class stop_phase : std::uint8_t {
    accepting, // requests are taken if they can end in time
    finishing, // new requests are refused, running ones go on
    ending,    // every request gets its final response
    over,      // the process exits, whatever is left
};

// A signal was sent in this time.
struct signal_window {
    base::instant earliest;
    base::instant noticed;
};

class stop_schedule
{
public:
    // `timeout`: the process is killed that long after the signal.
    stop_schedule(signal_window signal, base::duration timeout);

    stop_phase at(base::instant now) const;
    // The time of the signal that the phases count from.
    base::instant begun() const { return this->begun_at; }
    // When no request is taken any more.
    base::instant accept_end() const { return this->accept_until; }
    // When requests that still run are ended.
    base::instant end() const { return this->end_at; }

private:
    base::instant begun_at;
    base::instant accept_until;
    base::instant end_at;
    base::instant over_at;
};

} // namespace greengagedrum::shutdown
