// One request as the core remembers it, from arrival to its end.
#pragma once

#include <greengagedrum/base/ids.hpp>
#include <greengagedrum/base/request_spec.hpp>
#include <greengagedrum/base/verdict.hpp>
#include <greengagedrum/delivery/phase.hpp>
#include <greengagedrum/idempotency/messages.hpp>

#include <cstdint>
#include <optional>
#include <vector>

namespace greengagedrum::delivery
{

struct request {
    base::request_id id;
    base::request_spec spec;
    delivery::phase phase = delivery::phase::queued;
    bool may_have_run = false; // some dispatch was not proved unwritten
    bool caller_present = true;
    bool holds_claim = false; // the desk holds it, until told of its end
    std::uint64_t body_digest = 0;
    std::optional<idempotency::claim_subject> subject;

    // The dispatch under way, or the last one.
    base::dispatch_id dispatch;
    base::upstream_id upstream;
    std::uint32_t connection = 0; // the newest one's number
    std::uint32_t tokens_received = 0;
    base::instant last_progress;
    std::uint32_t resume_attempts = 0;  // tries since the last progress
    std::uint32_t dispatches = 0;       // of this request, in all
    std::uint32_t connect_refusals = 0; // connects refused before a byte left
    std::uint32_t preemptions = 0;      // dispatches cancelled for others
    std::vector<base::upstream_id>
        avoided_upstreams; // upstreams that failed it

    // When the core looks at it next by itself, if at all.
    std::optional<base::instant> timer;

    // What its caller may be told now if it has to end.
    base::run_state run_state() const
    {
        return this->may_have_run ? base::run_state::may_have_run
                                  : base::run_state::not_run;
    }
};

} // namespace greengagedrum::delivery
