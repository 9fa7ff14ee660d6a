// Which peers an entry keeps links with: all in its own data centre, and a few
// in each other one, so that updates reach all data centres without a full
// mesh.
//
// The links between two data centres are the pairs of entries with the highest
// rendezvous hash of both slots. Both ends compute the same pairs. No entry is
// in two pairs, so that the loss of one entry leaves the other pair. The lists
// of two entries may differ for a while; a link that only one end chooses is
// opened all the same.
#pragma once

#include <greengagedrum/base/ids.hpp>
#include <greengagedrum/membership/messages.hpp>

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

namespace greengagedrum::membership
{

struct link_target {
    base::slot_id slot;
    std::string address; // "IP:port"
};

inline constexpr std::size_t pairs_per_data_centre = 2;

// The peers that entry `own` of `data_centre` connects to. `usable` returns
// false for a slot whose process is known to be gone. Such a slot is left out
// of the links to other data centres, but stays a target within the own one,
// where its next process will accept the link.
std::vector<link_target>
choose_links(const instance_list& list,
             base::slot_id own,
             base::data_centre_id data_centre,
             const std::function<bool(base::slot_id)>& usable);

} // namespace greengagedrum::membership
