// The requests that this instance has with upstreams now, by upstream, class
// and tier.
//
// It decides nothing; it answers who could give way to whom. Orders are those
// of the ids, so that equal histories give equal decisions.
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
    base::instant dispatched_at; // of its dispatch
};

class running_set
{
public:
    void add(const running_request& item);
    void remove(base::request_id request); // nothing when it does not run

    // Null when it does not run.
    const running_request* find(base::request_id request) const;

    // Requests of this tier on upstreams of this class.
    std::uint32_t count(base::upstream_class_id upstream_class,
                        base::tier tier) const;

    std::uint32_t in_flight(base::upstream_id upstream) const;

    // Prompt and most output of all that runs there, in tokens.
    std::uint32_t tokens_in_flight(base::upstream_id upstream) const;

    // True when work of a lower tier than `tier` runs there.
    bool has_lower_tier_on(base::upstream_id upstream, base::tier tier) const;

    // The requests of lower tiers there, the lowest tier first.
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
