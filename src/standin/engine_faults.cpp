#include <standin/engine_faults.hpp>

#include <nlohmann/json.hpp>

#include <string>

namespace standin
{

namespace
{

template <class Value>
std::optional<Value> number(const nlohmann::json& json, const char* name)
{
    const auto found = json.find(name);
    if (found == json.end() || !found->is_number())
        return std::nullopt;
    if (found->template get<double>() < 0)
        return std::nullopt;
    return found->template get<Value>();
}

std::optional<engine_fault> slow_down_from(const nlohmann::json& json)
{
    const auto factor = number<double>(json, "factor");
    if (!factor || *factor <= 0)
        return std::nullopt;
    return slow_down{*factor};
}

std::optional<engine_fault> die_from(const nlohmann::json& json)
{
    const auto tokens = number<std::uint64_t>(json, "tokens");
    if (!tokens)
        return std::nullopt;
    return die_after_tokens{*tokens};
}

std::optional<engine_fault> die_on_prompt_from(const nlohmann::json& json)
{
    const auto found = json.find("text");
    if (found == json.end() || !found->is_string())
        return std::nullopt;
    const auto text = found->get<std::string>();
    if (text.empty())
        return std::nullopt;
    return die_on_prompt{text};
}

std::optional<engine_fault> freeze_from(const nlohmann::json& json)
{
    const auto length = number<std::int64_t>(json, "ms");
    if (!length)
        return std::nullopt;
    return freeze{std::chrono::milliseconds(*length)};
}

} // namespace

std::optional<engine_fault> engine_fault_from(const nlohmann::json& json)
{
    if (!json.is_object() || !json.contains("fault") ||
        !json["fault"].is_string())
        return std::nullopt;
    const auto name = json["fault"].get<std::string>();
    if (name == "slow_down")
        return slow_down_from(json);
    if (name == "refuse_requests")
        return refuse_requests{};
    if (name == "go_silent")
        return go_silent{};
    if (name == "die_after_tokens")
        return die_from(json);
    if (name == "die_on_prompt")
        return die_on_prompt_from(json);
    if (name == "freeze")
        return freeze_from(json);
    if (name == "close_streams")
        return close_streams{};
    if (name == "truncate_event")
        return truncate_event{};
    if (name == "mend")
        return mend{};
    return std::nullopt;
}

} // namespace standin
