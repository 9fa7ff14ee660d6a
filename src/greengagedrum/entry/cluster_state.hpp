// The configuration in force and the upstreams, together with the store items
// they were read from, so that peers can fetch them.
//
// Items arrive from the store or from peers, in any order. An item is replaced
// only by one of a higher revision, so the state never goes back.
#pragma once

#include <greengagedrum/entry/start_time_usage.hpp>
#include <greengagedrum/gossip/message.hpp>
#include <greengagedrum/routing/route_table.hpp>
#include <greengagedrum/routing/upstream_directory.hpp>

#include <tl/expected.hpp>

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace greengagedrum::entry
{

// An upstream that must get no more requests, with the incarnation that was
// known.
struct removed_upstream {
    std::string name;
    base::upstream_id id;
};

// The start or end of a data centre's evacuation. While evacuated, its
// upstreams get no requests.
struct evacuation_change {
    std::string data_centre;
    bool evacuated = false;
    std::uint64_t revision = 0; // revision in the store
};

// What changed when items were applied.
struct cluster_changes {
    bool configuration_changed = false;
    std::vector<evacuation_change> evacuations;
    std::vector<routing::published_upstream> added; // or changed address
    std::vector<removed_upstream> removed;
    std::vector<std::string> unreadable_items; // key and reason
};

class cluster_state
{
public:
    // `complete`: the list holds all items as of that revision, so known items
    // missing from it have been removed.
    cluster_changes apply(const routing::store_item_list& items,
                          std::uint64_t as_of,
                          bool complete,
                          base::instant now);

    // Items received from a peer, which cover all changes since
    // last_change_revision().
    cluster_changes apply(const gossip::item_transfer& transfer,
                          base::instant now);

    // The outcome of a call to the store.
    void on_store_answered(base::instant now);
    void on_store_failed(base::instant now);

    // Removes the upstreams whose deferred removal is due.
    cluster_changes expire(base::instant now);

    // With `reading_again`, the digest no longer counts the upstream's item, so
    // that an entry which follows another one reads the store for its renewal.
    cluster_changes mark_misdirected(base::upstream_id upstream,
                                     bool reading_again = false);

    // Null until a configuration is known.
    const routing::route_table_ptr& routes() const { return this->table; }
    const routing::upstream_directory& upstreams() const
    {
        return this->directory;
    }

    std::uint64_t store_revision() const { return this->revision; }
    // Whether all items as of some revision are known.
    bool has_listing() const { return this->listed; }
    // The state equals that of a peer which knows all items as of `as_of`.
    void confirm_listing(std::uint64_t as_of);
    // The highest revision of an item that changed the state. A store that lost
    // its history for a while may deliver a change with a lower revision later.
    std::uint64_t last_change_revision() const { return this->last_change; }
    std::uint64_t configuration_revision() const;
    std::int64_t configuration_version() const;

    // The number of changes applied so far.
    std::uint64_t change_count() const { return this->applied_changes; }
    // Digest of the items' content, without the load that upstreams report.
    std::uint64_t content_digest() const { return this->combined_digest; }

    // The newest configuration item, whether or not it could be read.
    gossip::reference_document newest_configuration() const;
    // The configuration item of that revision, if it is the newest or one of
    // the few before it; else none.
    gossip::reference_document
    configuration_at(std::uint64_t item_revision) const;

    // For a peer that knows all items up to revision `since`.
    gossip::item_transfer items_after_revision(std::uint64_t since) const;
    // For a peer that was sent the state after the first `changes` changes.
    gossip::item_transfer items_after_change(std::uint64_t changes) const;

private:
    void apply_item(const routing::store_item& item,
                    base::instant now,
                    cluster_changes& out);
    // False if the item can't be read.
    bool apply_configuration(const routing::store_item& item,
                             cluster_changes& out);
    bool apply_upstream(const routing::store_item& item,
                        base::instant now,
                        cluster_changes& out);
    void apply_evacuation(const routing::store_item& item,
                          cluster_changes& out);
    routing::published_upstream
    with_full_warmup(const routing::published_upstream& one) const;
    void record_upstream_change(const std::string& name,
                                routing::upstream_change change,
                                std::optional<base::upstream_id> before,
                                cluster_changes& out);
    tl::expected<routing::published_upstream, std::string>
    read_upstream(const routing::store_item& item, cluster_changes& out);
    void drop_upstreams_without_start_time(cluster_changes& out);
    void record_change(const std::string& key);
    void update_digest(const std::string& key, std::uint64_t hash);
    void drop_oldest_empty_item();
    void keep_former_configuration(routing::store_item former);
    std::optional<base::instant> removal_deadline(base::instant now) const;

    std::map<std::string, routing::store_item, std::less<>> items;
    // Replaced configuration items that peers may still hold, newest first.
    std::deque<routing::store_item> former_configurations;
    routing::route_table_ptr table;
    routing::upstream_directory directory;
    std::uint64_t revision = 0;
    bool listed = false;
    std::uint64_t last_change = 0;
    std::uint64_t applied_changes = 0;
    // For each item that changed the state: its change number.
    std::unordered_map<std::string, std::uint64_t> change_numbers;
    std::uint64_t combined_digest = 0;
    std::unordered_map<std::string, std::uint64_t> item_hashes; // by item key
    start_time_usage start_times;
    std::optional<base::instant> store_failing_since;
    base::instant removals_deferred_until;
};

} // namespace greengagedrum::entry
