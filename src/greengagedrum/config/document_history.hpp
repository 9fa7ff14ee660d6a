// The versions of one document that the store holds.
//
// What is held depends only on which versions were ever offered, never on the
// order in which they came: the newest few sound versions, and the newest
// unsound one while it is newer than all sound ones. Sound means without a
// fault when looked at by itself (parsed_document.hpp); a tombstone is sound.
#pragma once

#include <greengagedrum/config/fault.hpp>
#include <greengagedrum/config/messages.hpp>
#include <greengagedrum/config/parsed_document.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace greengagedrum::config
{

// Sound versions held of each document. A version that fits no workspace is
// passed over for an older one; this bounds how far back.
inline constexpr std::size_t history_depth = 4;

struct sound_version {
    document source;
    std::shared_ptr<const parsed_document> parsed; // null for a tombstone
};

struct unsound_version {
    document source;
    fault_list faults;
};

class document_history
{
public:
    enum class outcome : std::uint8_t {
        added,
        known,    // held already, or older than all that is held
        conflict, // another body at a revision that is held: refused
    };

    outcome offer(const document& version);

    // The newest first.
    const std::vector<sound_version>& sound() const { return this->versions; }
    const std::optional<unsound_version>& unsound() const
    {
        return this->broken;
    }

    // Drops sound versions beyond the newest few, but for those in `in_use`.
    // Called once a whole set has been offered, never in the middle of one: a
    // new process takes an old version that is still in use from its peers.
    void prune(const std::set<std::uint64_t>& in_use);

    bool holds(std::uint64_t wanted) const;
    // Highest revision held; 0 when nothing is.
    std::uint64_t newest() const;
    // Newest sound revision; 0 when there is none.
    std::uint64_t newest_sound() const;

    void append_newer(std::uint64_t since, std::vector<document>& out) const;

private:
    const document* find(std::uint64_t wanted) const;
    outcome offer_sound(sound_version version);
    outcome offer_unsound(unsound_version version);
    void drop_outdated();

    std::vector<sound_version> versions;
    std::optional<unsound_version> broken;
    std::uint64_t pruned_to = 0; // highest revision dropped by `prune`
};

} // namespace greengagedrum::config
