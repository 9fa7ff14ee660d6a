// The tables of the core's options, which the header of a recording holds.
#pragma once

#include <greengagedrum/delivery/scheduler.hpp>
#include <greengagedrum/trace/field_table.hpp>

namespace greengagedrum::trace
{

template <>
inline constexpr auto fields_of<delivery::backoff_range> =
    std::tuple{named("first_us", &delivery::backoff_range::initial),
               named("most_us", &delivery::backoff_range::maximum)};

template <>
inline constexpr auto fields_of<admission::options> =
    std::tuple{named("waiting_max", &admission::options::waiting_max),
               named("floor_age_us", &admission::options::floor_age),
               named("floor_share", &admission::options::floor_share),
               named("overdraft_share", &admission::options::overdraft_share),
               named("hard_factor", &admission::options::hard_factor),
               named("preemptions_max", &admission::options::preemptions_max),
               named("belief", &admission::options::shed_estimate_factor),
               named("risk", &admission::options::distress_estimate_factor),
               named("distress_hold_us", &admission::options::distress_hold)};

template <>
inline constexpr auto fields_of<placement::options> =
    std::tuple{named("policy", &placement::options::policy),
               named("slot", &placement::options::slot),
               named("seed", &placement::options::seed),
               named("baseline_in_flight_max",
                     &placement::options::baseline_in_flight_max),
               named("patience_floor_us", &placement::options::patience_floor)};

template <>
inline constexpr auto fields_of<idempotency::desk_options> = std::tuple{
    named("slot", &idempotency::desk_options::slot),
    named("data_centre", &idempotency::desk_options::data_centre),
    named("life", &idempotency::desk_options::life),
    named("started_wall_unix_ms", &idempotency::desk_options::started_wall),
    named("started_us", &idempotency::desk_options::started),
    named("clock_skew_us", &idempotency::desk_options::clock_skew),
    named("condition", &idempotency::desk_options::condition),
    named("lease_us", &idempotency::desk_options::lease),
    named("list_lag_us", &idempotency::desk_options::list_lag),
    named("homes_lag_us", &idempotency::desk_options::homes_lag),
    named("retry_window_us", &idempotency::desk_options::retry_window),
    named("claim_age_us", &idempotency::desk_options::claim_age),
    named("repeat_after_us", &idempotency::desk_options::repeat_after),
    named("claim_timeout_us", &idempotency::desk_options::claim_timeout),
    named("answer_poll_us", &idempotency::desk_options::answer_poll),
    named("holder_timeout_us", &idempotency::desk_options::holder_timeout),
    named("claims_max", &idempotency::desk_options::claims_max),
    named("records_max", &idempotency::desk_options::records_max),
    named("answer_bytes_max", &idempotency::desk_options::answer_bytes_max),
    named("answer_age_max_us", &idempotency::desk_options::answer_age_max)};

template <>
inline constexpr auto fields_of<delivery::scheduler_options> = std::tuple{
    named("slot", &delivery::scheduler_options::slot),
    named("life", &delivery::scheduler_options::incarnation),
    named("data_centre", &delivery::scheduler_options::data_centre),
    named("seed", &delivery::scheduler_options::seed),
    named("admission", &delivery::scheduler_options::admission),
    named("desk", &delivery::scheduler_options::desk),
    named("placement", &delivery::scheduler_options::placement),
    named("resumes_max", &delivery::scheduler_options::resumes_max),
    named("cut_patience_us",
          &delivery::scheduler_options::unreachable_resume_window),
    named("resume_backoff", &delivery::scheduler_options::resume_backoff),
    named("retry_backoff", &delivery::scheduler_options::retry_backoff),
    named("dispatches_max", &delivery::scheduler_options::dispatches_max),
    named("retry_fraction", &delivery::scheduler_options::retry_fraction),
    named("retry_bound", &delivery::scheduler_options::retry_bound)};

// An option that the header lacks makes a recording replay another way, only
// for daemons that set it.
static_assert(has_whole_table<delivery::backoff_range>);
static_assert(has_whole_table<admission::options>);
static_assert(has_whole_table<placement::options>);
static_assert(has_whole_table<idempotency::desk_options>);
static_assert(has_whole_table<delivery::scheduler_options>);

} // namespace greengagedrum::trace
