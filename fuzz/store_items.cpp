// What the store answers: pages, watches, and the values in them. Anything may
// be refused; nothing may bring the entry down or be half read.
#include <greengagedrum/platform/documents.hpp>
#include <greengagedrum/platform/settings_file.hpp>
#include <greengagedrum/platform/store_calls.hpp>
#include <greengagedrum/routing/route_table.hpp>

#include "require.hpp"

#include <memory>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size)
{
    using namespace greengagedrum;
    using fuzz::require;
    const std::string text(fuzz::text_of(data, size));
    platform::read_store_answer(text);
    const auto upstream =
        platform::read_upstream({"servers/i-1", text, 3, false});
    if (upstream) {
        require(upstream->slots > 0, "an upstream runs one at least");
        require(base::is_ip_address(upstream->address.ip),
                "and has an address");
    }
    const auto config =
        platform::read_configuration({"op/config", text, 3, false});
    if (config) {
        for (const routing::route& one : config->routes)
            require(!one.targets.empty(), "a route leads somewhere");
        const routing::route_table table(
            std::make_shared<const routing::configuration>(*config));
        table.find_route("host", "/a/b/c");
    }
    const auto settings = platform::read_settings(text);
    require(settings || !settings.error().empty(), "a refusal says why");
    return 0;
}
