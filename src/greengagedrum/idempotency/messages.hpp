// What entries tell each other about tickets and callers' own keys.
//
// The instance that asks is the requester; the one that decides is the home.
// All messages are safe to lose, delay and repeat.
#pragma once

#include <greengagedrum/base/ids.hpp>
#include <greengagedrum/base/time.hpp>
#include <greengagedrum/base/verdict.hpp>

#include <cstdint>
#include <string>
#include <variant>

namespace greengagedrum::idempotency
{

// Names the one process that may grant this request's dispatch.
struct ticket {
    base::data_centre_id data_centre;
    base::slot_id slot;
    base::incarnation life;
    std::uint64_t sequence = 0;
    auto operator<=>(const ticket&) const = default;
};

// A caller's own key, within its workspace.
struct caller_key {
    base::workspace_id workspace;
    std::string key;
    auto operator<=>(const caller_key&) const = default;
};

// What is claimed: either of the two.
using claim_subject = std::variant<ticket, caller_key>;

// Requester to home: may I dispatch this? `attempt` is unique among all lives
// of the requester's slot, so that a late or repeated reply finds its request
// and no other.
struct claim_request {
    std::uint64_t attempt = 0;
    base::slot_id requester;
    base::incarnation requester_life;
    base::slot_id home;
    base::incarnation home_life;   // the life the requester believes in
    std::uint64_t body_digest = 0; // the same key with another body: refused
    claim_subject subject;
};

enum class claim_result : std::uint8_t {
    granted,       // dispatch it yourself, within the lease
    held,          // another entry holds it: attach to its answer
    refused_old,   // the home may have forgotten it
    refused_lease, // the home can't be sure that it still is the home
    refused_body,  // same key, another request
    refused_life,  // asked of a life that this process is not
    refused_full,  // never granted, and no room to remember a grant
};

// Home to requester.
struct claim_reply {
    std::uint64_t attempt = 0;
    base::slot_id home;
    base::incarnation home_life;
    claim_result result = claim_result::refused_lease;
    base::slot_id holder; // with `held`
    base::incarnation holder_life;
    std::uint64_t holder_attempt = 0;
};

// Requester to holder: what became of it? Asked again until settled.
struct answer_request {
    std::uint64_t attempt = 0;
    base::slot_id requester;
    base::incarnation holder_life;
    std::uint64_t holder_attempt = 0; // as the home named it
    std::uint64_t body_digest = 0;
    claim_subject subject;
};

enum class answer_state : std::uint8_t {
    running,      // dispatched, not finished
    answered,     // whole; the body follows
    never_ran,    // the holder gave it up before any dispatch
    may_have_run, // ended without a whole answer
    dropped,      // answered once; no longer kept
    unknown,      // the holder has no memory of it
};

// Holder to requester.
struct answer_reply {
    std::uint64_t attempt = 0;
    base::incarnation holder_life;
    answer_state state = answer_state::unknown;
    std::string content_type;
    std::string body; // whole, with `answered`
    std::uint32_t tokens = 0;
    bool of_model = true;
};

// Holder to home: I never dispatched it and never will; pass it on. It names
// the attempt, so that a late copy can't free a later claim of this holder.
struct claim_release {
    std::uint64_t attempt = 0;
    base::slot_id holder;
    base::incarnation holder_life;
    base::incarnation home_life;
    claim_subject subject;
};

using message = std::variant<claim_request,
                             claim_reply,
                             answer_request,
                             answer_reply,
                             claim_release>;

} // namespace greengagedrum::idempotency
