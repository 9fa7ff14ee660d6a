// The phases of a graceful stop, from the signal to the exit of the process.
#pragma once

#include <greengagedrum/base/time.hpp>

#include <cstdint>
#include <optional>

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
    bool accept_ends_by_probes() const { return this->ended_by_probes; }
    // Until then connections are accepted, so that their requests are refused
    // with an answer.
    bool listens(base::instant now) const { return now < this->listen_until; }
    // When requests that still run are ended.
    base::instant end() const { return this->end_at; }

    // A readiness probe was answered negatively. The second answer ends
    // accepting, a while later.
    void on_negative_probe(base::instant now);

    // The timeout has changed. The shortest one counts: which of them ends the
    // process is not known.
    void on_timeout_changed(base::duration timeout);

private:
    base::instant begun_at;
    base::instant accept_until;
    base::instant end_at;
    base::instant over_at;
    base::instant listen_until;
    std::optional<base::instant> first_probe;
    bool ended_by_probes = false;
};

} // namespace greengagedrum::shutdown
