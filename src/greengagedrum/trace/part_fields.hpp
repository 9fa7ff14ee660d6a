// The tables of what messages are made of: work, verdicts, claims, lists, loads
// and configurations.
//
// Left out on purpose: token digests of workspaces, and bodies of answers
// (json_codec.hpp writes their length and digest).
#pragma once

#include <greengagedrum/delivery/messages.hpp>
#include <greengagedrum/trace/field_table.hpp>

namespace greengagedrum::trace
{

template <>
inline constexpr auto fields_of<base::dispatch_id> =
    std::tuple{named("life", &base::dispatch_id::life),
               named("sequence", &base::dispatch_id::sequence)};

template <>
inline constexpr auto fields_of<base::request_spec> =
    std::tuple{named("workspace", &base::request_spec::workspace),
               named("kind", &base::request_spec::kind),
               named("class", &base::request_spec::upstream_class),
               named("model", &base::request_spec::model),
               named("tier", &base::request_spec::tier),
               named("repetition", &base::request_spec::repetition),
               named("preemptible", &base::request_spec::preemptible),
               named("overflow", &base::request_spec::allow_other_data_centres),
               named("prompt_tokens", &base::request_spec::prompt_tokens),
               named("output_tokens", &base::request_spec::output_tokens),
               named("prefix_hash", &base::request_spec::prefix_hash),
               named("arrived_us", &base::request_spec::arrived),
               named("deadline_us", &base::request_spec::deadline)};

template <>
inline constexpr auto fields_of<base::verdict> =
    std::tuple{named("run", &base::verdict::run),
               named("why", &base::verdict::why),
               named("retry_after_us", &base::verdict::retry_after)};

template <>
inline constexpr auto fields_of<idempotency::ticket> =
    std::tuple{named("data_centre", &idempotency::ticket::data_centre),
               named("slot", &idempotency::ticket::slot),
               named("life", &idempotency::ticket::life),
               named("sequence", &idempotency::ticket::sequence)};

template <>
inline constexpr auto fields_of<idempotency::caller_key> =
    std::tuple{named("workspace", &idempotency::caller_key::workspace),
               named("key", &idempotency::caller_key::key)};

template <>
inline constexpr auto fields_of<idempotency::claim_request> = std::tuple{
    named("attempt", &idempotency::claim_request::attempt),
    named("requester", &idempotency::claim_request::requester),
    named("requester_life", &idempotency::claim_request::requester_life),
    named("home", &idempotency::claim_request::home),
    named("home_life", &idempotency::claim_request::home_life),
    named("body_digest", &idempotency::claim_request::body_digest),
    named("subject", &idempotency::claim_request::subject)};

template <>
inline constexpr auto fields_of<idempotency::claim_reply> = std::tuple{
    named("attempt", &idempotency::claim_reply::attempt),
    named("home", &idempotency::claim_reply::home),
    named("home_life", &idempotency::claim_reply::home_life),
    named("result", &idempotency::claim_reply::result),
    named("holder", &idempotency::claim_reply::holder),
    named("holder_life", &idempotency::claim_reply::holder_life),
    named("holder_attempt", &idempotency::claim_reply::holder_attempt)};

template <>
inline constexpr auto fields_of<idempotency::answer_request> = std::tuple{
    named("attempt", &idempotency::answer_request::attempt),
    named("requester", &idempotency::answer_request::requester),
    named("holder_life", &idempotency::answer_request::holder_life),
    named("holder_attempt", &idempotency::answer_request::holder_attempt),
    named("body_digest", &idempotency::answer_request::body_digest),
    named("subject", &idempotency::answer_request::subject)};

template <>
inline constexpr auto fields_of<idempotency::answer_reply> =
    std::tuple{named("attempt", &idempotency::answer_reply::attempt),
               named("holder_life", &idempotency::answer_reply::holder_life),
               named("state", &idempotency::answer_reply::state),
               named("content_type", &idempotency::answer_reply::content_type),
               named("body", &idempotency::answer_reply::body),
               named("tokens", &idempotency::answer_reply::tokens),
               named("of_model", &idempotency::answer_reply::of_model)};

template <>
inline constexpr auto fields_of<idempotency::claim_release> =
    std::tuple{named("attempt", &idempotency::claim_release::attempt),
               named("holder", &idempotency::claim_release::holder),
               named("holder_life", &idempotency::claim_release::holder_life),
               named("home_life", &idempotency::claim_release::home_life),
               named("subject", &idempotency::claim_release::subject)};

template <>
inline constexpr auto fields_of<membership::listed_instance> =
    std::tuple{named("name", &membership::listed_instance::name),
               named("type", &membership::listed_instance::type),
               named("data_centre", &membership::listed_instance::data_centre),
               named("address", &membership::listed_instance::address),
               named("state", &membership::listed_instance::state)};

template <>
inline constexpr auto fields_of<membership::instance_list> =
    std::tuple{named("revision", &membership::instance_list::revision),
               named("instances", &membership::instance_list::instances)};

template <>
inline constexpr auto fields_of<membership::heartbeat::known_incarnation> =
    std::tuple{
        named("slot", &membership::heartbeat::known_incarnation::slot),
        named("life", &membership::heartbeat::known_incarnation::incarnation)};

template <>
inline constexpr auto fields_of<membership::heartbeat> = std::tuple{
    named("slot", &membership::heartbeat::slot),
    named("life", &membership::heartbeat::incarnation),
    named("sequence", &membership::heartbeat::sequence),
    named("leaving", &membership::heartbeat::leaving),
    named("config_revision", &membership::heartbeat::config_revision),
    named("list_revision", &membership::heartbeat::list_revision),
    named("contact", &membership::heartbeat::platform),
    named("lives", &membership::heartbeat::known_incarnations)};

static_assert(has_whole_table<membership::heartbeat>);

template <>
inline constexpr auto fields_of<capacity::upstream_usage> = std::tuple{
    named("upstream", &capacity::upstream_usage::upstream),
    named("in_flight", &capacity::upstream_usage::in_flight),
    named("tokens_in_flight", &capacity::upstream_usage::tokens_in_flight),
    named("overdraft", &capacity::upstream_usage::overdraft)};

template <>
inline constexpr auto fields_of<capacity::class_demand> =
    std::tuple{named("class", &capacity::class_demand::upstream_class),
               named("waiting", &capacity::class_demand::waiting),
               named("running", &capacity::class_demand::running)};

template <>
inline constexpr auto fields_of<capacity::limit_usage> = std::tuple{
    named("workspace", &capacity::limit_usage::workspace),
    named("kind", &capacity::limit_usage::kind),
    named("in_flight", &capacity::limit_usage::in_flight),
    named("tokens_per_second", &capacity::limit_usage::tokens_per_second)};

template <>
inline constexpr auto fields_of<capacity::load_digest> =
    std::tuple{named("sequence", &capacity::load_digest::sequence),
               named("complete", &capacity::load_digest::complete),
               named("uses", &capacity::load_digest::uses),
               named("demands", &capacity::load_digest::demands),
               named("limits", &capacity::load_digest::limits)};

template <>
inline constexpr auto fields_of<placement::load_report> =
    std::tuple{named("upstream", &placement::load_report::upstream),
               named("age_us", &placement::load_report::age),
               named("running", &placement::load_report::running),
               named("waiting", &placement::load_report::waiting),
               named("prefill_tokens", &placement::load_report::prefill_tokens),
               named("models", &placement::load_report::models)};

template <>
inline constexpr auto fields_of<placement::cache_event> =
    std::tuple{named("upstream", &placement::cache_event::upstream),
               named("sequence", &placement::cache_event::sequence),
               named("prefix_hash", &placement::cache_event::prefix_hash),
               named("stored", &placement::cache_event::stored)};

template <>
inline constexpr auto fields_of<config::upstream_entry> = std::tuple{
    named("name", &config::upstream_entry::name),
    named("id", &config::upstream_entry::id),
    named("data_centre", &config::upstream_entry::data_centre),
    named("class", &config::upstream_entry::upstream_class),
    named("type", &config::upstream_entry::type),
    named("generation", &config::upstream_entry::generation),
    named("models", &config::upstream_entry::models),
    named("max_in_flight", &config::upstream_entry::max_in_flight),
    named("max_tokens_in_flight",
          &config::upstream_entry::max_tokens_in_flight),
    named("prefill_tokens_per_second",
          &config::upstream_entry::prefill_tokens_per_second),
    named("decode_tokens_per_second",
          &config::upstream_entry::decode_tokens_per_second),
    named("checks_fencing", &config::upstream_entry::checks_fencing)};

template <>
inline constexpr auto fields_of<config::entry_slot> =
    std::tuple{named("name", &config::entry_slot::name),
               named("id", &config::entry_slot::id)};

template <>
inline constexpr auto fields_of<config::data_centre> =
    std::tuple{named("name", &config::data_centre::name),
               named("id", &config::data_centre::id),
               named("region", &config::data_centre::region),
               named("slots", &config::data_centre::slots)};

template <>
inline constexpr auto fields_of<config::model_entry> =
    std::tuple{named("name", &config::model_entry::name),
               named("id", &config::model_entry::id),
               named("size_mib", &config::model_entry::size_mib),
               named("copies_min", &config::model_entry::copies_min)};

template <>
inline constexpr auto fields_of<config::fleet> =
    std::tuple{named("data_centres", &config::fleet::data_centres),
               named("upstreams", &config::fleet::upstreams),
               named("models", &config::fleet::models)};

template <>
inline constexpr auto fields_of<config::kind_rules> = std::tuple{
    named("name", &config::kind_rules::name),
    named("id", &config::kind_rules::id),
    named("tier", &config::kind_rules::tier),
    named("repetition", &config::kind_rules::repetition),
    named("deadline_us", &config::kind_rules::deadline),
    named("class", &config::kind_rules::upstream_class),
    named("model", &config::kind_rules::model),
    named("path", &config::kind_rules::path),
    named("max_tokens", &config::kind_rules::max_tokens),
    named("preemptible", &config::kind_rules::preemptible),
    named("overflow", &config::kind_rules::overflow),
    named("max_in_flight", &config::kind_rules::max_in_flight),
    named("tokens_per_second", &config::kind_rules::tokens_per_second),
    named("answer_bytes_max", &config::kind_rules::answer_bytes_max)};

template <>
inline constexpr auto fields_of<config::workspace_rules> =
    std::tuple{named("name", &config::workspace_rules::name),
               named("id", &config::workspace_rules::id),
               named("home", &config::workspace_rules::home),
               named("kinds", &config::workspace_rules::kinds)};

template <>
inline constexpr auto fields_of<config::snapshot> =
    std::tuple{named("revision", &config::snapshot::rev),
               named("fleet", &config::snapshot::fleet),
               named("workspaces", &config::snapshot::workspaces)};

} // namespace greengagedrum::trace
