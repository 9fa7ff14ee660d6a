// Chooses the home slot of a caller's own key.
#pragma once

#include <greengagedrum/base/ids.hpp>
#include <greengagedrum/idempotency/messages.hpp>

#include <optional>
#include <span>

namespace greengagedrum::idempotency
{

// Rendezvous hash of (workspace, key) over the published slots. It takes no
// part in who is alive: two entries that see different peers alive must still
// choose the same home. Nothing when no slot is published.
std::optional<base::slot_id> choose_home(const caller_key& key,
                                         std::span<const base::slot_id> slots);

} // namespace greengagedrum::idempotency
