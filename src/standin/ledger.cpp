#include <standin/ledger.hpp>

#include <nlohmann/json.hpp>

namespace standin
{

std::string_view to_string(run_state state)
{
    switch (state) {
    case run_state::running:
        return "running";
    case run_state::done:
        return "done";
    case run_state::cancelled:
        return "cancelled";
    }
    return "running";
}

nlohmann::json ledger_json(std::span<const ledger_run> runs)
{
    nlohmann::json list = nlohmann::json::array();
    for (const ledger_run& run : runs)
        list.push_back({{"stream", run.stream},
                        {"prompt_digest", run.prompt_digest},
                        {"tag", run.tag},
                        {"state", to_string(run.state)},
                        {"prefill_tokens", run.prefill_tokens},
                        {"tokens", run.tokens},
                        {"wasted_prefill", run.wasted_prefill}});
    return {{"runs", std::move(list)}};
}

} // namespace standin
