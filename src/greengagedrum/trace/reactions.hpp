// How the upstreams of a hand-written trace answer the core's actions.
//
// A trace must hold under any sound placement, so it can't name the dispatch
// that an event is about. It states rules instead: what follows when a stream
// is started (or resumed), for all upstreams or one, for all requests or one.
// Of the rules that fit, the last one counts. It is no model of an engine:
// nothing depends on load.
#pragma once

#include <greengagedrum/delivery/messages.hpp>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace greengagedrum::trace
{

class reactions
{
public:
    // {"to": "start_dispatch"|"start_resume", "upstream": NAME, "request": N,
    //  "with": [{"event": TYPE, "after_ms": T, members}]}. What is wrong, if
    // anything.
    std::optional<std::string> add(const nlohmann::json& rule);

    void note(const delivery::action& what, base::instant now);

    std::optional<base::instant> next() const;

    // The event that comes first, with its dispatch filled in.
    delivery::event take();

private:
    struct follow_up {
        base::duration after{0};
        delivery::event what;
    };
    struct rule {
        bool on_resume = false;
        std::optional<base::upstream_id> upstream;
        std::optional<base::request_id> request;
        std::vector<follow_up> with;
    };
    struct pending {
        std::uint32_t connection = 0;
        delivery::event what;
    };

    void begin(bool on_resume,
               base::request_id request,
               base::dispatch_id dispatch,
               base::upstream_id upstream,
               std::uint32_t connection,
               base::instant now);
    void stop(const delivery::stop_stream& what, base::instant now);

    std::vector<rule> rules;
    std::multimap<base::instant, pending> queue;
};

// Sets `dispatch` and `connection` in an event about a stream; others stay.
void address(delivery::event& what,
             base::dispatch_id dispatch,
             std::uint32_t connection);

// The dispatch that an event is about, if it is about one.
std::optional<base::dispatch_id> dispatch_of(const delivery::event& what);

} // namespace greengagedrum::trace
