// The names of alternatives and enumerators in trace lines.
#pragma once

#include <greengagedrum/trace/message_fields.hpp>
#include <greengagedrum/trace/option_fields.hpp>

#include <array>
#include <string_view>

namespace greengagedrum::trace
{

template <class Message>
inline constexpr std::string_view name_of{};

template <>
inline constexpr std::string_view name_of<delivery::request_arrived> =
    "request_arrived";
template <>
inline constexpr std::string_view name_of<delivery::ticket_wanted> =
    "ticket_wanted";
template <>
inline constexpr std::string_view name_of<delivery::process_paused> =
    "process_paused";
template <>
inline constexpr std::string_view name_of<delivery::assign_ticket> =
    "assign_ticket";
template <>
inline constexpr std::string_view name_of<delivery::caller_gone> =
    "caller_gone";
template <>
inline constexpr std::string_view name_of<delivery::connect_refused> =
    "connect_refused";
template <>
inline constexpr std::string_view name_of<delivery::stream_progressed> =
    "stream_progressed";
template <>
inline constexpr std::string_view name_of<delivery::stream_finished> =
    "stream_finished";
template <>
inline constexpr std::string_view name_of<delivery::stream_broken> =
    "stream_broken";
template <>
inline constexpr std::string_view name_of<delivery::claim_message> =
    "claim_message";
template <>
inline constexpr std::string_view name_of<delivery::config_changed> =
    "config_changed";
template <>
inline constexpr std::string_view name_of<delivery::instances_listed> =
    "instances_listed";
template <>
inline constexpr std::string_view name_of<delivery::own_listing_read> =
    "own_listing_read";
template <>
inline constexpr std::string_view name_of<delivery::peer_heartbeat> =
    "peer_heartbeat";
template <>
inline constexpr std::string_view name_of<delivery::peer_load> = "peer_load";
template <>
inline constexpr std::string_view name_of<delivery::peer_lost> = "peer_lost";
template <>
inline constexpr std::string_view name_of<delivery::upstream_reported> =
    "upstream_reported";
template <>
inline constexpr std::string_view name_of<delivery::upstream_cache_changed> =
    "upstream_cache_changed";
template <>
inline constexpr std::string_view name_of<delivery::stop_begun> = "stop_begun";
template <>
inline constexpr std::string_view name_of<delivery::stop_forced> =
    "stop_forced";
template <>
inline constexpr std::string_view name_of<delivery::load_due> = "load_due";
template <>
inline constexpr std::string_view name_of<delivery::tick> = "tick";
template <>
inline constexpr std::string_view name_of<delivery::start_dispatch> =
    "start_dispatch";
template <>
inline constexpr std::string_view name_of<delivery::start_resume> =
    "start_resume";
template <>
inline constexpr std::string_view name_of<delivery::stop_stream> =
    "stop_stream";
template <>
inline constexpr std::string_view name_of<delivery::end_answered> =
    "end_answered";
template <>
inline constexpr std::string_view name_of<delivery::end_failed> = "end_failed";
template <>
inline constexpr std::string_view name_of<delivery::send_claim_message> =
    "send_claim_message";
template <>
inline constexpr std::string_view name_of<delivery::send_load_digest> =
    "tell_load";
template <>
inline constexpr std::string_view name_of<idempotency::claim_request> =
    "claim_request";
template <>
inline constexpr std::string_view name_of<idempotency::claim_reply> =
    "claim_reply";
template <>
inline constexpr std::string_view name_of<idempotency::answer_request> =
    "answer_request";
template <>
inline constexpr std::string_view name_of<idempotency::answer_reply> =
    "answer_reply";
template <>
inline constexpr std::string_view name_of<idempotency::claim_release> =
    "claim_release";
template <>
inline constexpr std::string_view name_of<idempotency::ticket> = "ticket";
template <>
inline constexpr std::string_view name_of<idempotency::caller_key> =
    "caller_key";

// One enumerator and its name. A table has them all, in their order.
template <class Enum>
struct enumerator {
    Enum value;
    std::string_view name;
};

template <class Enum>
inline constexpr std::array<enumerator<Enum>, 0> names_of{};

template <>
inline constexpr auto names_of<base::tier> =
    std::to_array<enumerator<base::tier>>({{base::tier::urgent, "urgent"},
                                           {base::tier::interactive,
                                            "interactive"},
                                           {base::tier::standard, "standard"},
                                           {base::tier::bulk, "bulk"}});

template <>
inline constexpr auto
    names_of<base::repetition> = std::to_array<enumerator<base::repetition>>(
        {{base::repetition::idempotent, "idempotent"},
         {base::repetition::at_most_once, "at_most_once"}});

template <>
inline constexpr auto
    names_of<base::run_state> = std::to_array<enumerator<base::run_state>>(
        {{base::run_state::not_run, "not_run"},
         {base::run_state::may_have_run, "may_have_run"}});

template <>
inline constexpr auto
    names_of<base::reason> = std::to_array<enumerator<base::reason>>(
        {{base::reason::none, "none"},
         {base::reason::bad_request, "bad_request"},
         {base::reason::not_configured, "not_configured"},
         {base::reason::overloaded, "overloaded"},
         {base::reason::limit_reached, "limit_reached"},
         {base::reason::deadline, "deadline"},
         {base::reason::no_upstream, "no_upstream"},
         {base::reason::upstream_failed, "upstream_failed"},
         {base::reason::upstream_silent, "upstream_silent"},
         {base::reason::quarantined, "quarantined"},
         {base::reason::stopping, "stopping"},
         {base::reason::ticket_home_gone, "ticket_home_gone"},
         {base::reason::ticket_home_away, "ticket_home_away"},
         {base::reason::key_home_away, "key_home_away"},
         {base::reason::key_holder_gone, "key_holder_gone"},
         {base::reason::key_too_old, "key_too_old"},
         {base::reason::already_claimed, "already_claimed"},
         {base::reason::key_conflict, "key_conflict"},
         {base::reason::answer_dropped, "answer_dropped"},
         {base::reason::internal, "internal"},
         {base::reason::stream_version_unknown, "stream_version_unknown"}});

template <>
inline constexpr auto names_of<idempotency::claim_result> =
    std::to_array<enumerator<idempotency::claim_result>>(
        {{idempotency::claim_result::granted, "granted"},
         {idempotency::claim_result::held, "held"},
         {idempotency::claim_result::refused_old, "refused_old"},
         {idempotency::claim_result::refused_lease, "refused_lease"},
         {idempotency::claim_result::refused_body, "refused_body"},
         {idempotency::claim_result::refused_life, "refused_life"},
         {idempotency::claim_result::refused_full, "refused_full"}});

template <>
inline constexpr auto names_of<idempotency::answer_state> =
    std::to_array<enumerator<idempotency::answer_state>>(
        {{idempotency::answer_state::running, "running"},
         {idempotency::answer_state::answered, "answered"},
         {idempotency::answer_state::never_ran, "never_ran"},
         {idempotency::answer_state::may_have_run, "may_have_run"},
         {idempotency::answer_state::dropped, "dropped"},
         {idempotency::answer_state::unknown, "unknown"}});

template <>
inline constexpr auto names_of<base::platform_reachability> =
    std::to_array<enumerator<base::platform_reachability>>(
        {{base::platform_reachability::unknown, "unknown"},
         {base::platform_reachability::reachable, "heard"},
         {base::platform_reachability::unreachable, "lost"}});

template <>
inline constexpr auto names_of<membership::instance_type> =
    std::to_array<enumerator<membership::instance_type>>(
        {{membership::instance_type::entry, "entry"},
         {membership::instance_type::upstream, "upstream"}});

template <>
inline constexpr auto names_of<membership::listed_state> =
    std::to_array<enumerator<membership::listed_state>>(
        {{membership::listed_state::live, "live"},
         {membership::listed_state::leaving, "leaving"}});

template <>
inline constexpr auto names_of<config::upstream_type> =
    std::to_array<enumerator<config::upstream_type>>(
        {{config::upstream_type::engine, "engine"},
         {config::upstream_type::service, "service"}});

template <>
inline constexpr auto names_of<delivery::break_cause> =
    std::to_array<enumerator<delivery::break_cause>>(
        {{delivery::break_cause::connection_lost, "connection_lost"},
         {delivery::break_cause::stopped, "stopped"},
         {delivery::break_cause::unknown_stream, "unknown_stream"},
         {delivery::break_cause::refused, "refused"},
         {delivery::break_cause::malformed, "malformed"},
         {delivery::break_cause::no_connection, "no_connection"},
         {delivery::break_cause::unreachable, "unreachable"}});

template <>
inline constexpr auto names_of<placement::policy_choice> =
    std::to_array<enumerator<placement::policy_choice>>(
        {{placement::policy_choice::scheduler, "scheduler"},
         {placement::policy_choice::round_robin, "round_robin"},
         {placement::policy_choice::least_reported, "least_reported"},
         {placement::policy_choice::least_outstanding, "least_outstanding"}});

template <>
inline constexpr auto names_of<idempotency::lease_condition> =
    std::to_array<enumerator<idempotency::lease_condition>>(
        {{idempotency::lease_condition::own_majority, "own_majority"},
         {idempotency::lease_condition::other_slots, "other_slots"},
         {idempotency::lease_condition::platform_list, "platform_list"}});

} // namespace greengagedrum::trace
