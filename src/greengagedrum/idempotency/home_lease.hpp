// Whether this process may still act as the home of callers' own keys, and
// from which moment its memory is complete.
//
// It is no election: a slot's home is the process in that slot, and this class
// only finds out whether a successor may exist. Tickets never ask it.
//
// The failure: a process is cut off, its slot is given to a successor, and
// both answer claims for the same key on their sides of the cut; a receipt is
// printed twice. With `other_slots` each must have been heard, within the
// lease, by more than half of the slots other than its own. Two such sets
// share a peer, and that peer tells the old process of the successor's higher
// incarnation once it has heard of it. What the peer said before then runs out
// one lease later. So the successor counts its memory from one lease after it
// was first confirmed, and refuses any key that may be older.
//
// A peer that restarts forgets whom it has heard. It counts again only after
// the lease has held without it for as long as the lease; when the lease
// depends on it sooner, this home's memory starts anew.
#pragma once

#include <greengagedrum/base/ids.hpp>
#include <greengagedrum/base/time.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace greengagedrum::idempotency
{

// What a home must know before it grants a key.
enum class lease_condition : std::uint8_t {
    own_majority,  // more than half of all slots, its own counted: UNSAFE when
                   // a process is cut off and replaced; for trials
    other_slots,   // more than half of the other slots: the default
    platform_list, // a fresh reading of the list that names this process; as
                   // safe as the bound on the list's lag is true
};

class home_lease
{
public:
    home_lease(base::slot_id own,
               lease_condition condition,
               base::duration lease,
               base::duration list_lag);

    // Slots of the own data centre, as published.
    void set_slots(std::span<const base::slot_id> published);

    // A beat of ours, sent at `as_of` on our clock, was answered by the peer.
    void heard(base::slot_id slot,
               base::incarnation life,
               base::instant as_of,
               base::instant now);

    // A reading of the platform's list, asked for at `as_of`, named us.
    void listed(base::instant as_of, base::instant now);

    void lost(base::slot_id slot);
    void paused();
    void supersede() { this->replaced = true; }

    bool superseded() const { return this->replaced; }

    // True when no successor can be granting as well.
    bool holds(base::instant now) const;

    // From here on every grant of this slot is in this process' memory.
    // Nothing until the lease has held once and one more lease has passed.
    std::optional<base::instant> memory_start(base::instant now) const;

private:
    struct peer {
        base::incarnation life;
        base::instant first;                // heard in this life
        std::optional<base::instant> as_of; // of the newest answer
        bool witness = false; // would know of a successor since the start
    };

    bool confirmed(base::instant now) const;
    bool fresh(const std::optional<base::instant>& as_of,
               base::instant now) const;
    std::size_t witnesses(base::instant now) const;
    bool enough(std::size_t peers_heard) const;
    void note(base::instant now);
    void start_memory(base::instant now);
    void admit(base::instant now);

    base::slot_id own;
    lease_condition condition;
    base::duration lease;
    base::duration list_lag;
    std::size_t others = 0;              // published slots without the own
    std::map<base::slot_id, peer> peers; // of the published slots
    std::optional<base::instant> last_listed;
    std::optional<base::instant> first_confirmed;
    bool published = false; // the own slot is one of the published
    bool replaced = false;
};

} // namespace greengagedrum::idempotency
