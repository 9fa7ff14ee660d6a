// The whole check of a set of documents, as `ggdctl check` makes it before
// they are published.
//
// Stricter than what a daemon needs to go on: it wants everything right at
// once. What a daemon does with a document that is not right is the store's
// part (store.hpp); both use the same parsers.
#pragma once

#include <greengagedrum/config/fault.hpp>
#include <greengagedrum/config/messages.hpp>
#include <greengagedrum/config/snapshot.hpp>

#include <span>

namespace greengagedrum::config
{

struct check_result {
    snapshot_ptr snapshot; // null when there is any fault
    fault_list faults;     // all of them, in the order of the documents
};

// Pure: the same documents give the same result, whatever their order, but for
// the order of the faults. Tombstones are left out.
check_result check(std::span<const document> documents);

} // namespace greengagedrum::config
