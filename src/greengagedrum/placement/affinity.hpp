// Which upstreams probably hold a prompt's prefix in their cache.
//
// Hints from cache events (late, with gaps) and from own sends. A hint ages,
// counts half once an event of its upstream was lost, and nothing once the
// upstream's numbering began anew (it restarted, its cache is empty).
#pragma once

#include <greengagedrum/base/ids.hpp>
#include <greengagedrum/base/time.hpp>
#include <greengagedrum/placement/messages.hpp>

#include <array>
#include <cstdint>
#include <deque>
#include <unordered_map>

namespace greengagedrum::placement
{

class affinity
{
public:
    static constexpr std::size_t holders_max = 8;

    struct credit {
        base::upstream_id upstream;
        double tokens = 0; // of the prompt that need no prefill, expected
    };

    // Zero upstreams fill the rest.
    using credits = std::array<credit, holders_max>;

    void changed(const cache_event& event, base::instant now);

    // A prompt with this prefix was prefilled there.
    void
    stored(std::uint64_t prefix, base::upstream_id upstream, base::instant now);

    // What an engine that held this prefix said it had found in its cache.
    void found(std::uint64_t prefix, std::uint32_t cached_tokens);

    // False when no holder is known.
    bool find(std::uint64_t prefix, base::instant now, credits& out) const;

private:
    struct hint {
        base::upstream_id upstream;
        base::instant at;
    };
    struct known_prefix {
        std::array<hint, holders_max> holders{};
        double cached_tokens = 0; // usual
        bool again = false;       // stored more than once lately
    };
    struct source {
        std::uint64_t sequence = 0;
        base::instant gap_at;
        base::instant restarted_at;
    };

    double trust(const hint& one, base::instant now) const;
    void forget_oldest();
    void drop(std::uint64_t prefix, base::upstream_id upstream);

    std::unordered_map<std::uint64_t, known_prefix> prefixes; // bounded
    std::deque<std::uint64_t> order; // of the prefixes, the oldest first
    std::unordered_map<base::upstream_id, source> sources;
};

} // namespace greengagedrum::placement
