// Which upstreams exist and may be given work, as published in the store.
//
// It keeps the newest thing known of each upstream by the store's revision, so
// that news may come in any order, twice, from the store or from peers, and
// never takes anything back.
//
// An upstream may start again under its name. Each of its lives, told by when
// it was started, is an upstream of its own for all who send to it: it
// has another id, so that nothing learnt of one life (by this entry or told by
// a peer) counts for another. What was published by an older life never
// replaces a newer one, and a life that said it leaves never returns.
//
// Upstreams of an evacuated data centre stay known and may be given no work
// until their data centre is taken back.
#pragma once

#include <greengagedrum/base/ids.hpp>
#include <greengagedrum/base/ip_address.hpp>
#include <greengagedrum/base/time.hpp>

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

struct published_upstream {
    std::string name;
    base::upstream_id id; // of this life, see incarnation_id()
    std::optional<std::uint64_t>
        started_unix_ms; // Unix milliseconds, by its own clock
    base::upstream_class_id service;
    base::ip_endpoint address;
    std::string data_centre;
    std::uint32_t slots = 1;
    bool leaving = false;
    base::duration warmup{0};   // how much longer it is cold
    std::uint64_t revision = 0; // the store's
};

// One life of an upstream; without `started_unix_ms` a name has a single one.
base::upstream_id incarnation_id(std::string_view name,
                                 std::optional<std::uint64_t> started_unix_ms);

enum class upstream_change : std::uint8_t {
    none,
    joined,
    updated,   // address, slots, service, or how long it stays cold
    left,      // leaving, or no longer published
    restarted, // the life before is over, another one joined
};

class upstream_directory
{
public:
    // Takes one published entry.
    upstream_change update(const published_upstream& published);

    // The entry was removed at that revision. While the store was away, or
    // for a while after, it may only have lapsed: its upstream is then kept
    // until `lapse_bound`.
    //
    // Failure guarded against: an outage of the store outlasts the leases of
    // all entries; with its return every upstream would be gone at once, and
    // requests fail until each has reported again.
    upstream_change remove(std::string_view name,
                           std::uint64_t revision,
                           std::optional<base::instant> keep_until);

    // Something else answers at its address: gone until published anew.
    upstream_change mark_misdirected(base::upstream_id id);

    // Takes out those whose lapse bound has passed; appends their names.
    void remove_expired(base::instant now,
                        std::vector<std::string>& removed_names);

    // The life of that name that was published last; none while unknown.
    std::optional<base::upstream_id>
    latest_incarnation(std::string_view name) const;

    // Null when that incarnation is gone, leaving or evacuated.
    const published_upstream* find_usable(base::upstream_id id) const;

    // Null when that incarnation is gone or leaving.
    const published_upstream* find_alive(base::upstream_id id) const;

    // Returns the upstreams that may be given work because of it, or may no
    // longer be.
    std::vector<published_upstream>
    set_evacuated(const std::string& data_centre, bool evacuated);
    // Data centres, by name.
    const std::set<std::string>& evacuated() const
    {
        return this->evacuated_data_centres;
    }

    void for_each_usable(
        const std::function<void(const published_upstream&)>& visit) const;

    std::size_t usable_count() const;

private:
    struct upstream_record {
        published_upstream published; // of the newest life published
        bool removed = true;
        std::optional<base::instant> expires_at;
        std::uint64_t removal_revision = 0; // revision of the last removal
        std::optional<std::uint64_t> newest_start_unix_ms;
        std::optional<base::upstream_id>
            leaving_incarnation; // that said it leaves
    };

    static bool is_alive(const upstream_record& record);
    bool is_usable(const upstream_record& record) const;
    const upstream_record* find_incarnation(base::upstream_id id) const;
    void apply(upstream_record& record, const published_upstream& published);

    std::unordered_map<std::string, upstream_record> records; // by name
    bool any_may_expire = false; // else there is nothing to look for
    // Of each name's last life.
    std::unordered_map<base::upstream_id, std::string> names_by_id;
    std::set<std::string> evacuated_data_centres;
};

} // namespace greengagedrum::routing
