// What this entry knows of the published world: the configuration in force and
// the upstreams, with the items they were read from, as peers may ask for them.
//
// News comes from the store or from peers, in any order. An item is replaced
// only by one of a higher revision, so nothing ever goes back.
#pragma once

#include <greengagedrum/gossip/message.hpp>
#include <greengagedrum/routing/route_table.hpp>
#include <greengagedrum/routing/upstream_directory.hpp>

#include <tl/expected.hpp>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace greengagedrum::entry
{

// An upstream that gets nothing more, in the life that it was known in.
struct departed_upstream {
    std::string name;
    base::upstream_id id;
};

// A data centre whose upstreams get nothing more, or may again.
struct evacuation_change {
    std::string data_centre;
    bool evacuated = false;
    std::uint64_t revision = 0; // of the store
};

// What changed by some news.
struct cluster_changes {
    bool configuration = false;
    std::vector<evacuation_change> evacuations;
    std::vector<routing::published_upstream> joined; // or moved
    std::vector<departed_upstream> left;
    std::vector<std::string> faults; // items that can't be read
};

class cluster_state
{
public:
    // `whole`: all items that there are as of that revision; what is known and
    // not among them was removed.
    cluster_changes learn(const routing::store_item_list& items,
                          std::uint64_t as_of,
                          bool whole,
                          base::instant now);

    // What a peer passed of all that changed since changed_at().
    cluster_changes learn(const gossip::item_transfer& passed,
                          base::instant now);

    // The store gave an answer, or none.
    void store_answered(base::instant now);
    void store_failed(base::instant now);

    // Upstreams whose lapse was waited for.
    cluster_changes expire(base::instant now);

    cluster_changes misdirected(base::upstream_id upstream);

    // Null until a configuration is known.
    const routing::route_table_ptr& routes() const { return this->table; }
    const routing::upstream_directory& upstreams() const
    {
        return this->directory;
    }

    std::uint64_t as_of() const { return this->revision; }
    // Of the newest item that changed anything. A store that lost its history
    // for a while may tell of a change after revisions beyond it.
    std::uint64_t changed_at() const { return this->change; }
    std::uint64_t configuration_revision() const;
    std::int64_t configuration_version() const;

    // How often something of it has changed.
    std::uint64_t changes() const { return this->change_count; }
    // Of what the items say, without the load that upstreams report.
    std::uint64_t digest() const { return this->digest_of_all; }

    // For a peer that knows all up to `since`.
    gossip::item_transfer items_since(std::uint64_t since) const;
    // For one that was passed what was believed after so many changes.
    gossip::item_transfer items_after(std::uint64_t changes) const;

private:
    void take(const routing::store_item& item,
              base::instant now,
              cluster_changes& out);
    // False for what can't be read.
    bool take_configuration(const routing::store_item& item,
                            cluster_changes& out);
    bool take_upstream(const routing::store_item& item,
                       base::instant now,
                       cluster_changes& out);
    void take_evacuation(const routing::store_item& item, cluster_changes& out);
    routing::published_upstream
    taken_back(const routing::published_upstream& one) const;
    void note_upstream(const std::string& name,
                       routing::upstream_change change,
                       std::optional<base::upstream_id> before,
                       cluster_changes& out);
    tl::expected<routing::published_upstream, std::string>
    read_life(const routing::store_item& item, cluster_changes& out);
    void drop_unborn(cluster_changes& out);
    void note_change(const std::string& key);
    void note_meaning(const std::string& key, std::uint64_t meaning);
    void drop_oldest_spent();
    std::optional<base::instant> lapse_bound(base::instant now) const;

    std::map<std::string, routing::store_item, std::less<>> items;
    routing::route_table_ptr table;
    routing::upstream_directory directory;
    std::uint64_t revision = 0;
    std::uint64_t change = 0;
    std::uint64_t change_count = 0;
    // Of each item that changed anything: the count at that time.
    std::unordered_map<std::string, std::uint64_t> changed_as;
    std::uint64_t digest_of_all = 0;
    std::unordered_map<std::string, std::uint64_t> meanings; // by item
    bool lives_told = false; // an upstream told when it was born
    std::optional<base::instant> away_since;
    base::instant doubted_until;
};

} // namespace greengagedrum::entry
