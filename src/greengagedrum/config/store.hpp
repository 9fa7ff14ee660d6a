// The documents that one instance holds, and what of them is in force.
//
// What is in force is a function of the documents held, not of the order in
// which they came, so instances that hold the same documents serve alike. Two
// sources feed it, the platform's service and peers; neither is trusted to be
// up to date. It does not decide when to ask whom (spreader.hpp).
//
// * A document that is unsound by itself leaves its last sound version.
// * A template and a workspace that don't fit leave the pair that was in force
//   before the later of the two (version_choice.hpp).
// * The fleet never makes another document fall back: it says what exists. A
//   kind that nothing can serve shows in `warnings`, and its requests are told
//   `not_run` at once.
#pragma once

#include <greengagedrum/config/messages.hpp>
#include <greengagedrum/config/snapshot.hpp>
#include <greengagedrum/config/version_choice.hpp>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace greengagedrum::config
{

// What one document set brought about.
struct changes {
    bool in_force = false;       // `current` is another snapshot now
    std::uint32_t added = 0;     // versions not held before
    std::uint32_t known = 0;     // held already, or older than what is held
    std::uint32_t conflicts = 0; // another body at a held revision: refused
};

// A version that is held and not in force, and why.
struct refusal {
    std::string document;
    std::uint64_t revision = 0;
    std::string workspace; // for which it was passed over; empty: for all
    fault_list faults;
};

struct store_counters {
    std::uint64_t added = 0;
    std::uint64_t known = 0;
    std::uint64_t conflicts = 0;
    std::uint64_t older_sets = 0; // a source behind what is held (fail-over)
};

class store
{
public:
    changes apply(const document_set& received);

    // All held versions newer than `since`, by revision; for a peer.
    document_set newer_than(std::uint64_t since) const;

    // Null until a complete set with a sound fleet was seen.
    snapshot_ptr current() const { return this->in_force; }

    // True once a complete set was seen; then it stays so.
    bool complete() const { return this->whole; }

    // Every change up to this revision is held: what to ask changes since.
    std::uint64_t revision() const { return this->cut; }

    // True when something could not go into force and no older version of it
    // is held: a peer may have one, so ask it for all (`since` 0).
    bool wants_history() const { return this->lacking; }

    const std::vector<refusal>& refusals() const { return this->refused; }
    const fault_list& warnings() const { return this->warned; }
    const store_counters& counters() const { return this->counted; }

private:
    using in_use_map = std::map<std::string, std::set<std::uint64_t>>;
    // Versions in force: of the fleet, and of each workspace with its template.
    struct pair_in_force {
        std::uint64_t own = 0;
        std::uint64_t from = 0;
        bool operator==(const pair_in_force&) const = default;
    };

    // What a workspace became from a pair of versions under a fleet, kept so
    // that a change of one document doesn't render all the others again.
    struct rendered {
        pair_in_force from;
        std::uint64_t fleet = 0; // revision
        workspace_rules rules;
        fault_list warnings;
    };

    void offer(const document& version, changes& result);
    void advance(const document_set& received);
    bool rebuild(); // true when other versions are in force than before
    const sound_version* choose_fleet() const;
    void note_unsound();
    const rendered& render_once(const std::string& workspace,
                                const version_choice& choice,
                                const fleet& in);
    void
    add_workspace(const std::string& name, snapshot& into, in_use_map& in_use);

    history_map documents;
    std::uint64_t cut = 0;
    bool whole = false;
    bool lacking = false;
    snapshot_ptr in_force;
    std::map<std::string, pair_in_force> chosen;
    std::uint64_t fleet_revision = 0;       // of the fleet being built with
    std::map<std::string, rendered> kept;   // by workspace, of this rebuild
    std::map<std::string, rendered> former; // of the one before
    std::vector<refusal> refused;
    fault_list warned;
    store_counters counted;
};

} // namespace greengagedrum::config
