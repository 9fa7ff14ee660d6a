// The tables of the core's events and actions.
#pragma once

#include <greengagedrum/trace/part_fields.hpp>

namespace greengagedrum::trace
{

template <>
inline constexpr auto fields_of<delivery::request_arrived> = std::tuple{
    named("request", &delivery::request_arrived::request),
    named("work", &delivery::request_arrived::spec),
    named("deadline_after_us", &delivery::request_arrived::deadline_after),
    named("body_digest", &delivery::request_arrived::body_digest),
    named("subject", &delivery::request_arrived::subject)};

template <>
inline constexpr auto fields_of<delivery::ticket_wanted> =
    std::tuple{named("request", &delivery::ticket_wanted::request)};

template <>
inline constexpr auto fields_of<delivery::process_paused> = std::tuple{};

template <>
inline constexpr auto fields_of<delivery::assign_ticket> =
    std::tuple{named("request", &delivery::assign_ticket::request),
               named("ticket", &delivery::assign_ticket::ticket)};

template <>
inline constexpr auto fields_of<delivery::caller_gone> =
    std::tuple{named("request", &delivery::caller_gone::request)};

template <>
inline constexpr auto fields_of<delivery::connect_refused> =
    std::tuple{named("dispatch", &delivery::connect_refused::dispatch),
               named("connection", &delivery::connect_refused::connection)};

template <>
inline constexpr auto fields_of<delivery::stream_progressed> =
    std::tuple{named("dispatch", &delivery::stream_progressed::dispatch),
               named("tokens", &delivery::stream_progressed::tokens)};

template <>
inline constexpr auto fields_of<delivery::stream_finished> = std::tuple{
    named("dispatch", &delivery::stream_finished::dispatch),
    named("whole", &delivery::stream_finished::answer),
    named("cached_tokens", &delivery::stream_finished::cached_tokens)};

template <>
inline constexpr auto fields_of<delivery::stream_broken> =
    std::tuple{named("dispatch", &delivery::stream_broken::dispatch),
               named("connection", &delivery::stream_broken::connection),
               named("cause", &delivery::stream_broken::cause)};

template <>
inline constexpr auto fields_of<delivery::claim_message> =
    std::tuple{named("sender", &delivery::claim_message::sender),
               named("life", &delivery::claim_message::incarnation),
               named("body", &delivery::claim_message::body)};

template <>
inline constexpr auto fields_of<delivery::config_changed> =
    std::tuple{named("snapshot", &delivery::config_changed::snapshot)};

template <>
inline constexpr auto fields_of<delivery::instances_listed> =
    std::tuple{named("list", &delivery::instances_listed::list)};

template <>
inline constexpr auto fields_of<delivery::own_listing_read> =
    std::tuple{named("as_of_us", &delivery::own_listing_read::as_of)};

template <>
inline constexpr auto fields_of<delivery::peer_heartbeat> =
    std::tuple{named("beat", &delivery::peer_heartbeat::beat),
               named("as_of_us", &delivery::peer_heartbeat::as_of)};

template <>
inline constexpr auto fields_of<delivery::peer_load> =
    std::tuple{named("sender", &delivery::peer_load::sender),
               named("life", &delivery::peer_load::incarnation),
               named("digest", &delivery::peer_load::digest)};

template <>
inline constexpr auto fields_of<delivery::peer_lost> =
    std::tuple{named("slot", &delivery::peer_lost::slot)};

template <>
inline constexpr auto fields_of<delivery::upstream_reported> =
    std::tuple{named("report", &delivery::upstream_reported::report)};

template <>
inline constexpr auto fields_of<delivery::upstream_cache_changed> =
    std::tuple{named("change", &delivery::upstream_cache_changed::change)};

template <>
inline constexpr auto fields_of<delivery::start_dispatch> =
    std::tuple{named("request", &delivery::start_dispatch::request),
               named("dispatch", &delivery::start_dispatch::dispatch),
               named("upstream", &delivery::start_dispatch::upstream),
               named("connection", &delivery::start_dispatch::connection)};

template <>
inline constexpr auto fields_of<delivery::start_resume> =
    std::tuple{named("request", &delivery::start_resume::request),
               named("dispatch", &delivery::start_resume::dispatch),
               named("upstream", &delivery::start_resume::upstream),
               named("connection", &delivery::start_resume::connection),
               named("offset", &delivery::start_resume::offset)};

template <>
inline constexpr auto fields_of<delivery::stop_stream> =
    std::tuple{named("request", &delivery::stop_stream::request),
               named("dispatch", &delivery::stop_stream::dispatch),
               named("upstream", &delivery::stop_stream::upstream),
               named("connection", &delivery::stop_stream::connection),
               named("cancel", &delivery::stop_stream::cancel)};

template <>
inline constexpr auto fields_of<delivery::end_answered> =
    std::tuple{named("request", &delivery::end_answered::request),
               named("whole", &delivery::end_answered::answer)};

template <>
inline constexpr auto fields_of<delivery::end_failed> =
    std::tuple{named("request", &delivery::end_failed::request),
               named("verdict", &delivery::end_failed::verdict)};

template <>
inline constexpr auto fields_of<delivery::send_claim_message> =
    std::tuple{named("to", &delivery::send_claim_message::to),
               named("body", &delivery::send_claim_message::body)};

template <>
inline constexpr auto fields_of<delivery::send_load_digest> =
    std::tuple{named("digest", &delivery::send_load_digest::digest)};

} // namespace greengagedrum::trace
