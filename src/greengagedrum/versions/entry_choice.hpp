// Which entries hold the record of a stream, and which are asked for it: both
// by a rendezvous hash, so that entries that know the same others agree.
#pragma once

#include <greengagedrum/versions/messages.hpp>

#include <span>
#include <vector>

namespace greengagedrum::versions
{

// Three entries, or as many as there are: the first two of the own data centre
// and the first of the others. Either group makes up for a shortage of the
// other.
std::vector<entry_address> choose_holders(stream_id stream,
                                          base::data_centre_id own,
                                          std::span<const known_entry> entries);

// The first five over all and the first three of each data centre; at most 16.
// Wherever the stream began, its holders are among them.
std::vector<entry_address>
choose_entries_to_ask(stream_id stream, std::span<const known_entry> entries);

} // namespace greengagedrum::versions
