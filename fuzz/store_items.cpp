// What the store answers: pages, watches, and the values in them. Anything may
// be refused; nothing may bring the entry down or be half read, and an entry
// that isn't an upstream's own names none and harms no other.
#include <greengagedrum/entry/cluster_state.hpp>
#include <greengagedrum/platform/documents.hpp>
#include <greengagedrum/platform/settings_file.hpp>
#include <greengagedrum/platform/store_calls.hpp>
#include <greengagedrum/routing/route_table.hpp>

#include "require.hpp"

#include <memory>

namespace
{

using namespace greengagedrum;
using fuzz::require;

void read_configuration(const std::string& text)
{
    const auto config =
        platform::read_configuration({"op/config", text, 3, false});
    if (!config)
        return;
    for (const routing::route& one : config->routes)
        require(!one.targets.empty(), "a route leads somewhere");
    const routing::route_table table(
        std::make_shared<const routing::configuration>(*config));
    table.find_route("host", "/a/b/c");
}

// One upstream is sound; the text lies under its neighbour's key, which was
// sound before, and then under its own.
void learn_entry(const std::string& text)
{
    const std::string sound =
        R"({"service": "s", "address": "10.0.0.1:80", "zone": "z",
            "version": "v1", "slots": 2, "state": "ready",
            "warmupRemainingMs": 0, "sequence": 1, "born": 1000})";
    const base::instant now(std::chrono::hours(1));
    entry::cluster_state known;
    known.apply(
        {{"servers/a", sound, 1, false}, {"servers/b", sound, 2, false}},
        2,
        true,
        now);
    const auto read = platform::read_upstream({"servers/b", text, 3, false});
    const auto changes =
        known.apply({{"servers/b", text, 3, false}}, 3, false, now);
    const auto usable = known.upstreams().usable_count();
    require(usable >= 1, "the other upstream holds");
    require(read || usable == 1, "what can't be read names no upstream");
    require(read || changes.unreadable_items.size() == 1, "and is told");
    for (const auto& item : known.items_after_revision(0).items)
        require(read || item.key != "servers/b" || item.value.empty(),
                "nor is it kept");
    known.apply({{"servers/b", sound, 4, false}}, 4, false, now);
    require(read || known.upstreams().usable_count() == 2,
            "its upstream's next report brings it back");
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size)
{
    const std::string text(fuzz::text_of(data, size));
    if (const auto page = platform::read_store_answer(text)) {
        entry::cluster_state known;
        known.apply(page->items,
                    page->as_of,
                    true,
                    base::instant(std::chrono::hours(1)));
    }
    const auto upstream =
        platform::read_upstream({"servers/i-1", text, 3, false});
    if (upstream) {
        require(upstream->slots > 0, "an upstream runs one at least");
        require(base::is_ip_address(upstream->address.ip),
                "and has an address");
    }
    learn_entry(text);
    read_configuration(text);
    const auto settings = platform::read_settings(text);
    require(settings || !settings.error().empty(), "a refusal says why");
    return 0;
}
