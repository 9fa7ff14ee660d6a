// The scheduler's record of one request, from its arrival to its end.
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
    bool may_have_run = false; // a past dispatch may have run
    bool caller_present = true;
    bool holds_claim = false; // the desk has a claim open for it
    std::uint64_t body_digest = 0;
    std::optional<idempotency::claim_subject> subject;

    // The current dispatch, or the last one.
    base::dispatch_id dispatch;
    base::upstream_id upstream;
    std::uint32_t connection = 0; // number of the latest connection
    std::uint32_t tokens_received = 0;
    base::instant last_progress;
    std::uint32_t resume_attempts = 0; // since the last progress
    std::uint32_t dispatches = 0; // connect refusals and preemptions excluded
    std::uint32_t connect_refusals = 0; // nothing was written
    std::uint32_t preemptions = 0;      // dispatches cancelled for higher tiers
    // Upstreams that failed this request before.
    std::vector<base::upstream_id> avoided_upstreams;

    // When its timer fires, if one is set.
    std::optional<base::instant> timer;

    // The run state to report when the request ends while it is not running.
    base::run_state run_state() const
    {
        return this->may_have_run ? base::run_state::may_have_run
                                  : base::run_state::not_run;
    }
};

} // namespace greengagedrum::delivery
