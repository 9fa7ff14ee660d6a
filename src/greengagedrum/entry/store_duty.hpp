// Decides, in a deployment of several regions, which dispatchers read the store
// and which follow a dispatcher that is nearer to it.
//
// The link between two regions is narrow: a listing of the store that each
// entry reads for itself fills it for seconds, and changes of the configuration
// wait behind it. A dispatcher therefore follows another one whose connects to
// the store take less than half as long, as long as that one has recent answers
// of the store. A nearer dispatcher never follows a farther one, so there are
// no cycles, and nobody has to agree on anything.
#pragma once

#include <greengagedrum/base/time.hpp>
#include <greengagedrum/gossip/message.hpp>

#include <map>
#include <optional>

namespace greengagedrum::entry
{

class store_duty
{
public:
    // `max_age`: how old the newest answer of the store to an entry that is
    // followed may be.
    void set_max_age(base::duration max_age) { this->max_age = max_age; }

    // A connect of this entry to the store took so long. The shortest one
    // counts: all others waited for something else as well.
    void record_connect(base::duration took);
    // Shortest connect; empty while there was none.
    std::optional<base::duration> latency() const { return this->shortest; }

    void on_message(const gossip::message& received, base::instant now);

    // The dispatcher to follow; empty: this entry reads the store.
    std::optional<gossip::ipv4_address> nearer_reader(base::instant now) const;

private:
    struct reader {
        base::instant received_at;
        base::instant answered_at; // by the store
        base::instant started_at;
        base::duration latency{0};
    };

    bool is_usable(const reader& one, base::instant now) const;

    base::duration max_age = std::chrono::seconds(3);
    std::optional<base::duration> shortest;
    std::map<gossip::ipv4_address, reader> readers;
};

} // namespace greengagedrum::entry
