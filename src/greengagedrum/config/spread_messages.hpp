// What the spreader is told, and what it wants done.
#pragma once

#include <greengagedrum/base/ids.hpp>
#include <greengagedrum/base/platform_reachability.hpp>
#include <greengagedrum/base/time.hpp>

#include <cstdint>
#include <optional>
#include <span>
#include <variant>

namespace greengagedrum::config
{

// A peer that is alive and linked, as the last heartbeat showed it.
struct peer_view {
    base::slot_id slot;
    bool same_data_centre = false;
    std::uint64_t revision = 0;
    base::platform_reachability contact = base::platform_reachability::unknown;
};

// Where the store stands; given with every event.
struct held_state {
    std::uint64_t revision = 0;
    bool complete = false;
    bool wants_history = false;
};

// Time goes on; a few times a second. `random` is in [0, 1).
struct spread_tick {
    std::span<const peer_view> peers; // without the own slot
    double random = 0;
    // The platform's list names others, whether or not they can be reached.
    bool others_listed = false;
};

// A peer answered a document_request; the store has its answer already.
struct peer_answered {
    base::slot_id slot;
};
struct peer_failed {
    base::slot_id slot;
};

// The service answered; the store has its answer already.
struct service_answered {
    std::uint64_t call = 0;     // of the ask_service
    std::uint64_t revision = 0; // as the service told it
};
struct service_failed {
    std::uint64_t call = 0;
    double random = 0; // in [0, 1)
};

using spread_event = std::variant<spread_tick,
                                  peer_answered,
                                  peer_failed,
                                  service_answered,
                                  service_failed>;

// Send a document_request to this peer.
struct ask_peer {
    base::slot_id slot;
    std::uint64_t since = 0;
};

// GET /v1/documents, on a connection that may be kept from the last call.
struct ask_service {
    std::uint64_t call = 0;
    std::uint64_t since = 0;
    base::duration wait{0}; // how long the service may hold it back
};

// Close that call's connection: it went silent. The next call takes a new one.
struct drop_service_call {
    std::uint64_t call = 0;
};

using spread_action = std::variant<ask_peer, ask_service, drop_service_call>;

// How long ago each source was last heard; nothing when never.
struct spread_ages {
    std::optional<base::duration> service;
    std::optional<base::duration> peers;
    // Since this process or one that it hears of was answered by the service.
    std::optional<base::duration> confirmed;
};

struct spread_counters {
    std::uint64_t service_calls = 0;
    std::uint64_t service_failures = 0;
    std::uint64_t service_older = 0; // it told a revision behind ours
    std::uint64_t service_held = 0;  // calls put off to keep the rate
    std::uint64_t peer_asks = 0;
    std::uint64_t peer_failures = 0;
};

} // namespace greengagedrum::config
