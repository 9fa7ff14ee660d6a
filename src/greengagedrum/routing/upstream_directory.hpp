// Which upstreams exist and may be given work, as published in the store.
//
// It keeps the newest thing known of each upstream by the store's revision, so
// that news may come in any order, twice, from the store or from peers, and
// never takes anything back. An upstream that said it leaves never returns
// under the same id.
#pragma once

#include <greengagedrum/base/ids.hpp>
#include <greengagedrum/base/ip_address.hpp>
#include <greengagedrum/base/time.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace greengagedrum::routing
{

struct published_upstream {
    std::string name; // new with each start of the upstream
    base::upstream_id id;
    base::class_id service;
    base::ip_endpoint address;
    std::string data_centre;
    std::uint32_t slots = 1;
    bool leaving = false;
    base::duration warmup{0};   // how much longer it is slow after its start
    std::uint64_t sequence = 0; // grows with each report of the upstream
    std::uint64_t revision = 0; // the store's
};

enum class upstream_change : std::uint8_t {
    none,
    joined,
    updated, // address, slots or service
    left     // leaving, or no longer published
};

class upstream_directory
{
public:
    // Takes one published entry.
    upstream_change learn(const published_upstream& entry);

    // The entry was removed at that revision. While the store was away, or
    // for a while after, it may only have lapsed: its upstream is then kept
    // until `lapse_bound`.
    //
    // Failure guarded against: an outage of the store outlasts the leases of
    // all entries; with its return every upstream would be gone at once, and
    // requests fail until each has reported again.
    upstream_change removed(std::string_view name,
                            std::uint64_t revision,
                            std::optional<base::instant> lapse_bound);

    // Something else answers at its address: gone until published anew.
    upstream_change misdirected(base::upstream_id id);

    // Takes out those whose lapse bound has passed; appends their names.
    void expire(base::instant now, std::vector<std::string>& gone);
    std::optional<base::instant> next_expiry() const;

    // Null when it is gone or leaving.
    const published_upstream* find(base::upstream_id id) const;

    void for_each_usable(
        const std::function<void(const published_upstream&)>& take) const;

    std::size_t usable_count() const;

private:
    struct state {
        published_upstream entry;
        bool gone = false;
        std::optional<base::instant> lapses_at;
    };

    static bool usable(const state& of)
    {
        return !of.gone && !of.entry.leaving;
    }

    std::unordered_map<base::upstream_id, state> states;
};

} // namespace greengagedrum::routing
