// Which peers an entry keeps links with: all of its data centre, and of each
// other data centre a few, so that news crosses although no entry knows all.
//
// The pairs across come first by rendezvous hash of both slots, the same from
// either end, with no end twice: the loss of one entry leaves the other pair.
// Views may differ; a link that only one end wants is made all the same.
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

inline constexpr std::size_t pairs_per_data_centre = 2; // for each data centre

// `usable` is false for a slot whose process is known to be gone; it is still
// dialled within the data centre, since its successor comes there.
std::vector<link_target>
choose_links(const instance_list& list,
             base::slot_id own,
             base::data_centre_id data_centre,
             const std::function<bool(base::slot_id)>& usable);

} // namespace greengagedrum::membership
