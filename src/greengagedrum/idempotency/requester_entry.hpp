// One request of this entry on its way to a grant or to another's answer.
#pragma once

#include <greengagedrum/base/ids.hpp>
#include <greengagedrum/base/time.hpp>
#include <greengagedrum/base/verdict.hpp>
#include <greengagedrum/idempotency/messages.hpp>

#include <cstdint>

namespace greengagedrum::idempotency
{

enum class requester_stage : std::uint8_t {
    claiming,       // asked the home
    attached_here,  // waits for a record of this process
    attached_there, // asks the holder again and again
    holding,        // granted, not dispatched
    running         // dispatched
};

struct requester_entry {
    requester_stage stage = requester_stage::claiming;
    claim_subject subject;
    std::uint64_t body_digest = 0;
    base::slot_id home;
    std::uint64_t attempt = 0;
    base::instant begun;          // first begin() of this request
    base::instant asked;          // first question of the last (re)claim
    base::incarnation asked_life; // the life of the home it went to
    base::instant next;           // next repeat or check; see `timed`
    bool timed = false;
    std::uint32_t reclaims = 0; // holders that gave it up
    bool grant_void = false;    // the process stood still meanwhile
    bool was_granted = false;   // and is therefore known never to have run
    base::slot_id holder;
    base::incarnation holder_life;
    std::uint64_t holder_attempt = 0;
    base::instant holder_heard;
};

} // namespace greengagedrum::idempotency
