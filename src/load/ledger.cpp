#include <load/ledger.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <unordered_map>

namespace load
{

namespace
{

using greengagedrum::base::repetition;
using nlohmann::json;

constexpr std::size_t most_examples = 20;

ledger_run read_run(std::string_view upstream, const json& entry)
{
    ledger_run run;
    run.upstream = upstream;
    run.stream = entry.value("stream", "");
    run.tag = entry.value("tag", "");
    run.state = entry.value("state", "");
    run.prefill_tokens = entry.value("prefill_tokens", std::uint64_t{0});
    run.wasted_prefill = entry.value("wasted_prefill", std::uint64_t{0});
    return run;
}

bool moved_away(const ledger_run& run)
{
    return run.state == "exported" || run.state == "moved";
}

// Of a run whose answer didn't reach its caller: one per answered request is
// taken off again.
std::uint64_t wasted(const ledger_run& run)
{
    if (moved_away(run))
        return 0;
    if (run.state == "cancelled")
        return run.wasted_prefill;
    return run.prefill_tokens;
}

struct tag_runs {
    std::uint64_t count = 0;
    std::string where; // for an example
};

using runs_by_tag = std::unordered_map<std::string, tag_runs>;

runs_by_tag group(std::span<const ledger_run> runs)
{
    runs_by_tag grouped;
    for (const ledger_run& run : runs) {
        if (moved_away(run))
            continue;
        tag_runs& same = grouped[run.tag];
        ++same.count;
        same.where += " " + run.upstream + "/" + run.stream;
    }
    return grouped;
}

void add_example(audit& found, std::string text)
{
    if (found.examples.size() < most_examples)
        found.examples.push_back(std::move(text));
}

void judge(const outcome& ended, const tag_runs& runs, audit& found)
{
    const bool once = ended.sort->repetition == repetition::at_most_once;
    if (runs.count > 1 && once) {
        ++found.duplicates;
        add_example(found, "duplicate " + ended.tag + ":" + runs.where);
    }
    if (runs.count > 1 && !once)
        ++found.repeated;
    if (runs.count > 0 && ended.surely_not_run) {
        ++found.false_not_run;
        add_example(found, "false not_run " + ended.tag + ":" + runs.where);
    }
    if (runs.count == 0 && ended.how == ending::answered)
        ++found.without_run;
}

} // namespace

tl::expected<std::vector<ledger_run>, std::string>
parse_ledger(std::string_view upstream, std::string_view body)
{
    const json data = json::parse(body, nullptr, false);
    if (!data.is_object() || !data.contains("runs") || !data["runs"].is_array())
        return tl::make_unexpected(std::string("no JSON with `runs`"));
    std::vector<ledger_run> runs;
    try {
        for (const json& entry : data["runs"])
            runs.push_back(read_run(upstream, entry));
    } catch (const json::exception& failure) {
        return tl::make_unexpected(std::string(failure.what()));
    }
    return runs;
}

audit compare_ledgers(std::span<const outcome> outcomes,
                      std::span<const ledger_run> runs)
{
    const runs_by_tag grouped = group(runs);
    std::unordered_map<std::string_view, const outcome*> ours;
    audit found;
    for (const outcome& ended : outcomes) {
        ours.emplace(ended.tag, &ended);
        const auto same = grouped.find(ended.tag);
        judge(ended, same == grouped.end() ? tag_runs() : same->second, found);
    }
    std::unordered_map<std::string_view, std::uint64_t> useful;
    for (const ledger_run& run : runs) {
        const auto asked = ours.find(run.tag);
        if (asked == ours.end())
            continue;
        found.prefill_tokens += run.prefill_tokens;
        found.wasted_prefill += wasted(run);
        if (run.state == "done" && asked->second->correct())
            useful[run.tag] = std::max(useful[run.tag], run.prefill_tokens);
    }
    for (const auto& [tag, tokens] : useful)
        found.wasted_prefill -= tokens;
    return found;
}

} // namespace load
