// What this process remembers, as the holder, of one ticket or key.
#pragma once

#include <greengagedrum/base/answer.hpp>
#include <greengagedrum/base/ids.hpp>
#include <greengagedrum/base/time.hpp>
#include <greengagedrum/idempotency/messages.hpp>

#include <cstdint>
#include <vector>

namespace greengagedrum::idempotency
{

enum class held_state : std::uint8_t {
    waiting,     // granted, not dispatched
    running,     // dispatched, not ended
    answered,    // whole; the answer is kept
    dropped,     // answered; the answer is no longer kept
    may_have_run // ended without a whole answer after a dispatch
};

struct held_record {
    held_state state = held_state::waiting;
    std::uint64_t attempt = 0; // by which the home knows this claim
    std::uint64_t body_digest = 0;
    base::answer_ptr whole;
    base::instant changed;
    std::vector<base::request_id> attached; // of this entry
};

constexpr bool is_settled(held_state state)
{
    return state != held_state::waiting && state != held_state::running;
}

} // namespace greengagedrum::idempotency
