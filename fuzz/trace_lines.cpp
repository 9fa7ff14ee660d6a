// Trace lines. What is read is written alike; and whatever order of events
// comes, the core keeps its promises (trace/ledger.hpp).
#include <greengagedrum/trace/codec.hpp>
#include <greengagedrum/trace/replay.hpp>

#include "require.hpp"
#include <nlohmann/json.hpp>

namespace
{

using namespace greengagedrum;
using fuzz::require;

constexpr const char* preamble[] = {
    R"({"trace": 1, "hand_written": true, "options": {"life": 7, "slot": "a", "data_centre": "z"}})",
    R"({"at_ms": 0, "event": "config_changed", "snapshot": {"fleet": {"upstreams": [{"name": "e", "data_centre": "z", "class": "c", "models": ["m"], "max_in_flight": 2}, {"name": "f", "data_centre": "z", "class": "c", "models": ["m"], "max_in_flight": 1}]}}})",
    R"({"at_ms": 0, "event": "instances_listed", "list": {"instances": [{"name": "e", "type": "upstream"}, {"name": "f", "type": "upstream"}]}})"};

void check_line(const std::string& text)
{
    const auto line = nlohmann::json::parse(text, nullptr, false);
    if (!line.is_object() || !line.contains("event"))
        return;
    const auto event = trace::event_from(line);
    if (!event)
        return;
    const auto written = trace::to_json(*event);
    const auto again = trace::event_from(written);
    require(again.has_value(), "what is written can be read");
    // A made-up body has a digest of its own, once.
    const auto settled = trace::to_json(*again);
    const auto third = trace::event_from(settled);
    require(third.has_value() && third->index() == event->index(),
            "an event stays what it is");
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size)
{
    const auto lines = trace::split_lines(fuzz::text_of(data, size));
    std::vector<std::string> all(std::begin(preamble), std::end(preamble));
    for (const std::string& line : lines) {
        check_line(line);
        // Only what config::check accepts reaches the core in life.
        if (line.find("config_changed") == std::string::npos)
            all.push_back(line);
    }
    const auto found = trace::replay(all);
    require(!found.first || !found.first->promise_broken,
            "the core keeps its promises");
    return 0;
}
