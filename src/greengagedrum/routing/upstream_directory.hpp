// The upstreams that exist, as published in the store, and which of them may be
// given requests.
//
// For each upstream the newest state by the store's revision is kept. So
// updates may come in any order, repeatedly, from the store or from peers, and
// an older one never replaces a newer one.
//
// An upstream may restart under its name. Each incarnation, identified by its
// start time, has its own id and counts as an upstream of its own, so that
// nothing known of one incarnation (from this entry or from peers) is applied
// to another. An older incarnation's late update doesn't replace a newer one's
// (see incarnation_history), and an incarnation that announced that it leaves
// never returns.
//
// Upstreams of an evacuated data centre stay known, but are given no requests
// until the evacuation ends.
#pragma once

#include <greengagedrum/base/ids.hpp>
#include <greengagedrum/base/time.hpp>
#include <greengagedrum/routing/incarnation_history.hpp>
#include <greengagedrum/routing/published_upstream.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace greengagedrum::routing
{

enum class upstream_change : std::uint8_t {
    none,
    joined,
    updated,   // address, slots, service, version or warm-up time
    left,      // leaving, removed or expired
    restarted, // a new incarnation replaces the old one
};

class upstream_directory
{
public:
    // Applies a published upstream.
    upstream_change update(const published_upstream& published);

    // Removes the upstream, as of that revision. During an outage of the store
    // and for a while after it, the item may only have expired: with
    // `keep_until` the upstream is kept until then, unless it is published
    // again.
    //
    // Failure guarded against: an outage of the store outlasts the leases of
    // all items. On its return all upstreams would be removed at once, and
    // requests would fail until each upstream has reported again.
    upstream_change remove(std::string_view name,
                           std::uint64_t revision,
                           std::optional<base::instant> keep_until);

    // Another process answers at the upstream's address: removes the upstream
    // until it is published again.
    upstream_change mark_misdirected(base::upstream_id id);

    // Removes the upstreams that were kept until `now` or earlier; appends
    // their names to `removed_names`.
    void remove_expired(base::instant now,
                        std::vector<std::string>& removed_names);

    // The incarnation of that name that was published last; none if the name is
    // unknown.
    std::optional<base::upstream_id>
    latest_incarnation(std::string_view name) const;

    // Null if that incarnation is removed, leaving or evacuated.
    const published_upstream* find_usable(base::upstream_id id) const;

    // Null if that incarnation is removed or leaving.
    const published_upstream* find_alive(base::upstream_id id) const;

    // Returns the upstreams that become usable, or cease to be, by this change.
    std::vector<published_upstream>
    set_evacuated(const std::string& data_centre, bool evacuated);
    // Names of data centres.
    const std::set<std::string>& evacuated() const
    {
        return this->evacuated_data_centres;
    }

    void for_each_usable(
        const std::function<void(const published_upstream&)>& visit) const;

    std::size_t usable_count() const;

private:
    struct upstream_record {
        incarnation_history incarnations;
        published_upstream published;
        bool removed = true;
        std::optional<base::instant> expires_at;
        std::uint64_t removal_revision = 0; // revision of the last removal
    };

    static bool is_alive(const upstream_record& record);
    bool is_usable(const upstream_record& record) const;
    const upstream_record* find_incarnation(base::upstream_id id) const;
    void apply(upstream_record& record, const published_upstream& published);

    std::unordered_map<std::string, upstream_record> records; // by name
    bool any_may_expire = false; // false: no record has an expiry time
    // The name of each published incarnation.
    std::unordered_map<base::upstream_id, std::string> names_by_id;
    std::set<std::string> evacuated_data_centres;
};

} // namespace greengagedrum::routing
