// What the parts of ggd-bench-state measure with, and the documents they feed.
#pragma once

#include <greengagedrum/config/check.hpp>
#include <greengagedrum/config/store.hpp>

#include <malloc.h>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <ctime>
#include <string>
#include <vector>

namespace bench
{

using namespace greengagedrum;

constexpr double million = 1e6;
constexpr double kibibyte = 1024;

// Seconds of processor time of this thread.
inline double processor_now()
{
    constexpr double nano = 1e-9;
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) +
           nano * static_cast<double>(time.tv_nsec);
}

inline double allocated_kib()
{
    const auto now = mallinfo2();
    return static_cast<double>(now.uordblks + now.hblkhd) / kibibyte;
}

// ---- Configuration ------------------------------------------------------

inline config::document fleet_document(std::size_t upstreams)
{
    nlohmann::json body;
    body["data_centres"] = {{{"name", "zona-4"},
                             {"region", "guatemala-city"},
                             {"slots", {"zona-4-a", "zona-4-b"}}}};
    body["models"] = nlohmann::json::array();
    for (int model = 0; model < 15; ++model)
        body["models"].push_back({{"name", "model-" + std::to_string(model)},
                                  {"size_mib", 14000},
                                  {"copies_min", 1}});
    body["upstreams"] = nlohmann::json::array();
    for (std::size_t at = 0; at < upstreams; ++at)
        body["upstreams"].push_back(
            {{"name", "engine-" + std::to_string(at)},
             {"data_centre", "zona-4"},
             {"class", "photo"},
             {"type", "engine"},
             {"generation", "g" + std::to_string(at % 3)},
             {"models", {"model-" + std::to_string(at % 15)}},
             {"max_in_flight", 8},
             {"max_tokens_in_flight", 65536},
             {"prefill_tokens_per_second", 8000},
             {"decode_tokens_per_second", 60},
             {"checks_fencing", true}});
    return {"fleet", 1, false, body.dump()};
}

// Five kinds of four tiers, as the examples have.
inline config::document template_document()
{
    constexpr const char* tiers[] = {
        "urgent", "interactive", "standard", "bulk", "standard"};
    nlohmann::json body;
    body["parameters"] = {{{"name", "deadline_ms"},
                           {"type", "integer"},
                           {"min", 1000},
                           {"max", 600000},
                           {"default", 60000}}};
    body["kinds"] = nlohmann::json::array();
    for (int kind = 0; kind < 5; ++kind)
        body["kinds"].push_back(
            {{"name", "kind-" + std::to_string(kind)},
             {"tier", tiers[kind]},
             {"repetition", "idempotent"},
             {"deadline_ms", {{"parameter", "deadline_ms"}}},
             {"class", "photo"},
             {"model", "model-" + std::to_string(kind)},
             {"max_tokens", 512},
             {"max_in_flight", kind >= 3 ? 16 : 0},
             {"overflow", true}});
    return {"template/booths", 2, false, body.dump()};
}

inline config::document workspace_document(std::size_t number,
                                           std::uint64_t revision)
{
    std::string token(64, '0');
    const std::string digits = std::to_string(number + 1);
    token.replace(token.size() - digits.size(), digits.size(), digits);
    const nlohmann::json body = {
        {"template", "booths"},
        {"home", "zona-4"},
        {"token_sha256", token},
        {"parameters", {{"deadline_ms", 30000 + revision % 1000}}}};
    return {
        "workspace/w" + std::to_string(number), revision, false, body.dump()};
}

inline config::document_set documents_of(std::size_t workspaces,
                                         std::size_t upstreams)
{
    config::document_set out;
    out.complete = true;
    out.documents = {fleet_document(upstreams), template_document()};
    for (std::size_t number = 0; number < workspaces; ++number)
        out.documents.push_back(workspace_document(number, 3 + number));
    out.revision = 3 + workspaces;
    return out;
}

} // namespace bench
