#include <standin/json_answers.hpp>
#include <standin/platform_faults.hpp>

namespace standin
{

std::optional<platform_fault> platform_fault_from(const nlohmann::json& json)
{
    const std::string name = text_member(json, "fault").value_or("");
    if (name == "down")
        return platform_down{};
    if (name == "mend")
        return platform_mend{};
    const auto revision = count_member(json, "revision");
    if (name == "stale" && revision)
        return platform_stale{*revision};
    const auto length = count_member(json, "ms");
    if (!length)
        return std::nullopt;
    const std::chrono::milliseconds time(*length);
    if (name == "delay")
        return platform_delay{time};
    if (name == "list_lag")
        return platform_list_lag{time};
    return std::nullopt;
}

} // namespace standin
