#include <greengagedrum/upstreams/report_reader.hpp>

#include <nlohmann/json.hpp>

#include <string>

namespace greengagedrum::upstreams
{

namespace
{

using nlohmann::json;

// An engine's clock may be set back or forth; an age past this is no age.
constexpr std::int64_t age_max_ms = 3'600'000;

std::optional<std::uint64_t> count(const json& from, const char* name)
{
    const auto found = from.find(name);
    if (found == from.end() || !found->is_number_unsigned())
        return std::nullopt;
    return found->get<std::uint64_t>();
}

std::optional<std::uint32_t> small_count(const json& from, const char* name)
{
    const auto value = count(from, name);
    if (!value || *value > std::numeric_limits<std::uint32_t>::max())
        return std::nullopt;
    return static_cast<std::uint32_t>(*value);
}

} // namespace

std::optional<placement::load_report> read_load(std::string_view text,
                                                base::upstream_id upstream)
{
    const json body = json::parse(text, nullptr, false);
    if (!body.is_object())
        return std::nullopt;
    const auto age = body.find("age_ms");
    const auto running = small_count(body, "running");
    const auto waiting = small_count(body, "waiting");
    const auto prefill = count(body, "prefill_tokens");
    if (age == body.end() || !age->is_number_integer() || !running ||
        !waiting || !prefill)
        return std::nullopt;
    const auto age_ms = age->get<std::int64_t>();
    if (age_ms < 0 || age_ms > age_max_ms)
        return std::nullopt;
    placement::load_report out;
    out.upstream = upstream;
    out.age = std::chrono::milliseconds(age_ms);
    out.running = *running;
    out.waiting = *waiting;
    out.prefill_tokens = *prefill;
    const auto models = body.find("models");
    if (models == body.end() || !models->is_array())
        return out;
    for (const json& model : *models) {
        if (model.is_string())
            out.models.emplace_back(model.get_ref<const std::string&>());
    }
    return out;
}

std::optional<std::vector<placement::cache_event>>
read_cache_events(std::string_view text, base::upstream_id upstream)
{
    const json body = json::parse(text, nullptr, false);
    if (!body.is_object())
        return std::nullopt;
    const auto events = body.find("events");
    if (events == body.end() || !events->is_array())
        return std::nullopt;
    std::vector<placement::cache_event> out;
    for (const json& event : *events) {
        if (!event.is_object())
            return std::nullopt;
        const auto sequence = count(event, "sequence");
        const auto prefix = count(event, "prefix_hash");
        const auto stored = event.find("stored");
        if (!sequence || !prefix || stored == event.end() ||
            !stored->is_boolean())
            return std::nullopt;
        out.push_back({upstream, *sequence, *prefix, stored->get<bool>()});
    }
    return out;
}

} // namespace greengagedrum::upstreams
