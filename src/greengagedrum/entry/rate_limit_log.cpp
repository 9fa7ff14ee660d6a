#include <greengagedrum/entry/rate_limit_log.hpp>

namespace greengagedrum::entry
{

void log_rate_limit(shared_state& state,
                    const traffic::rate_limit_changed& change,
                    std::string_view source)
{
    const routing::published_upstream* upstream =
        state.cluster.upstreams().find_alive(change.upstream);
    state.log.write(
        state.clock(),
        "scheduler",
        change.per_second > 0 ? "upstream_limit_announced"
                              : "upstream_limit_ended",
        {{"upstream", upstream == nullptr ? std::string() : upstream->name},
         {"per_second", change.per_second},
         {"source", source}});
}

} // namespace greengagedrum::entry
