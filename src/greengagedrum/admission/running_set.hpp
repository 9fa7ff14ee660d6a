// The requests of this instance that run on upstreams, by upstream, class and
// tier.
//
// Makes no decisions; answers which requests could be cancelled for which.
// Requests are iterated in the order of their ids, so that equal histories give
// equal decisions.
#pragma once

#include <greengagedrum/base/ids.hpp>
#include <greengagedrum/base/request_spec.hpp>

#include <array>
#include <cstdint>
#include <map>
#include <set>
#include <unordered_map>
#include <vector>

namespace greengagedrum::admission
{

struct running_request {
    base::request_id request;
    base::request_spec work;
    base::upstream_id upstream;
    base::instant dispatched_at;
};

class running_set
{
public:
    void add(const running_request& item);
    void remove(base::request_id request); // no-op when not running

    // Null when the request is not running.
    const running_request* find(base::request_id request) const;

    // Number of running requests of the tier on upstreams of the class.
    std::uint32_t count(base::upstream_class_id upstream_class,
                        base::tier tier) const;

    std::uint32_t in_flight(base::upstream_id upstream) const;

    // Prompt and maximum output tokens of all requests running there.
    std::uint32_t tokens_in_flight(base::upstream_id upstream) const;

    // True when a request of a tier lower than `tier` runs there.
    bool has_lower_tier_on(base::upstream_id upstream, base::tier tier) const;

    // The requests running there of tiers lower than `tier`, lowest tier first.
    std::vector<const running_request*>
    lower_tier_requests(base::upstream_id upstream, base::tier tier) const;

    std::size_t size() const { return this->requests.size(); }

private:
    using requests_by_tier =
        std::array<std::set<base::request_id>, base::tier_count>;
    using tier_counts = std::array<std::uint32_t, base::tier_count>;

    std::unordered_map<base::request_id, running_request> requests;
    std::map<base::upstream_id, requests_by_tier> by_upstream;
    std::map<base::upstream_class_id, tier_counts> class_counts;
};

} // namespace greengagedrum::admission
