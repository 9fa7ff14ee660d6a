#include <standin/json_answers.hpp>
#include <standin/service_faults.hpp>

namespace standin
{

std::optional<service_fault> service_fault_from(const nlohmann::json& json)
{
    const std::string name = text_member(json, "fault").value_or("");
    if (name == "die_before_run")
        return die_before_run{};
    if (name == "die_after_run")
        return die_after_run{};
    if (name == "lose_reply")
        return lose_reply{};
    if (name == "refuse_calls")
        return refuse_calls{};
    if (name == "mend")
        return service_mend{};
    const auto factor = json.find("factor");
    if (name != "slow_down" || factor == json.end() || !factor->is_number())
        return std::nullopt;
    const auto value = factor->get<double>();
    if (value < 0)
        return std::nullopt;
    return service_slow_down{value};
}

} // namespace standin
