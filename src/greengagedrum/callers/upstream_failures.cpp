#include <greengagedrum/callers/upstream_failures.hpp>
#include <greengagedrum/logs/write.hpp>

#include <string>

namespace greengagedrum::callers
{

namespace
{

std::string_view name_of(const config::snapshot& snapshot,
                         base::upstream_id upstream)
{
    for (const config::upstream_entry& entry : snapshot.fleet.upstreams)
        if (entry.id == upstream)
            return entry.name;
    return "no longer in the fleet";
}

} // namespace

std::string_view to_string(delivery::break_cause cause)
{
    switch (cause) {
    case delivery::break_cause::connection_lost:
        return "connection_lost";
    case delivery::break_cause::stopped:
        return "stopped";
    case delivery::break_cause::unknown_stream:
        return "unknown_stream";
    case delivery::break_cause::refused:
        return "refused";
    case delivery::break_cause::malformed:
        return "malformed";
    case delivery::break_cause::unreachable:
        return "unreachable";
    case delivery::break_cause::no_connection:
        return "no_connection";
    }
    return "unknown";
}

void upstream_failures::broken(const config::snapshot& snapshot,
                               base::upstream_id upstream,
                               delivery::break_cause cause)
{
    if (cause != delivery::break_cause::stopped)
        this->write(snapshot, upstream, to_string(cause));
}

void upstream_failures::refused(const config::snapshot& snapshot,
                                base::upstream_id upstream)
{
    this->write(snapshot, upstream, "connect_refused");
}

void upstream_failures::write(const config::snapshot& snapshot,
                              base::upstream_id upstream,
                              std::string_view cause)
{
    const auto held_back =
        this->limiter.admit(logs::repeat_limiter::clock::now());
    if (!held_back)
        return;
    logs::write(logs::level::warning,
                "upstreams",
                "upstream_failed",
                {{"upstream", name_of(snapshot, upstream)},
                 {"cause", cause},
                 {"held_back", *held_back}});
}

} // namespace greengagedrum::callers
