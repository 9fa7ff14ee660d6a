// This instance's share of the resources that the entries of its data centre
// have in common: slots of upstreams and limits of workspaces.
//
// Every entry reports its demand with its heartbeat and computes the split by
// itself, without orders to peers and without waiting for them. An entry's own
// demand enters the split as last sent, not as it is now, so that entries that
// received each other's digests compute the same split.
//
// An entry that is cut off, or that has not received any digest yet, splits
// equally among all entries. An entry that is listed but has not reported
// counts with an equal share, because it may be serving requests.
#pragma once

#include <greengagedrum/base/ids.hpp>
#include <greengagedrum/base/tier.hpp>
#include <greengagedrum/base/time.hpp>
#include <greengagedrum/capacity/messages.hpp>
#include <greengagedrum/capacity/split.hpp>

#include <array>
#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <vector>

namespace greengagedrum::capacity
{

class shares
{
public:
    using limit_id = std::pair<base::workspace_id, base::kind_id>;

    explicit shares(base::slot_id own_slot) : own_slot(own_slot)
    {
        this->entries = {own_slot};
    }

    // Sets the live entries of the data centre; this instance is always added.
    void set_entries(std::set<base::slot_id> live);
    std::size_t entry_count() const { return this->entries.size(); }

    void on_load_digest(base::slot_id peer,
                        base::incarnation incarnation,
                        const load_digest& digest,
                        base::instant now);
    void remove_peer(base::slot_id peer);

    // The digest to send: the items changed since the previous digest, and
    // periodically all items, because digests may be lost. An increase of
    // demand is sent at once, a decrease only after it has lasted for a while,
    // so that shares do not oscillate with every request that ends.
    load_digest compose(const load_digest& current, base::instant now);

    // This instance's slots of an upstream that has `limit` slots, in a class
    // that has `class_total`.
    std::uint32_t upstream_share(base::upstream_id upstream,
                                 base::upstream_class_id upstream_class,
                                 std::uint32_t limit,
                                 std::uint32_t class_total,
                                 base::instant now) const;

    // This instance's share of a workspace's limit, from 0 to 1.
    double limit_share(base::workspace_id workspace,
                       base::kind_id kind,
                       base::instant now) const;

    // idle_limit_share: this instance's share of any limit that no entry is
    // known to use. used_limits: the limits that some entry uses. Most limits
    // of a deployment are idle at any time, and calling limit_share for each
    // would cost 4.5 us per limit.
    double idle_limit_share(base::instant now) const;
    std::set<limit_id> used_limits(base::instant now) const;

    // True when a peer recently reported running requests of a lower tier in
    // the class.
    bool peers_run_lower_tier(base::upstream_class_id upstream_class,
                              base::tier tier,
                              base::instant now) const;

private:
    struct load_view {
        base::incarnation incarnation;
        std::uint64_t sequence = 0;
        base::instant updated_at;
        std::map<base::upstream_id, upstream_usage> uses;
        std::map<base::upstream_class_id, class_demand> demands;
        std::map<limit_id, limit_usage> limits;
    };
    struct peak {
        std::uint32_t value = 0;
        base::instant since;
    };

    const load_view* recent_view(base::slot_id slot, base::instant now) const;
    double limit_fraction(const limit_id& limit,
                          std::uint64_t salt,
                          base::instant now) const;
    bool has_recent_peer(base::instant now) const;
    class_demand with_held_peaks(class_demand demand, base::instant now);
    static void apply(load_view& known, const load_digest& digest);

    base::slot_id own_slot;
    std::set<base::slot_id> entries;
    std::map<base::slot_id, load_view> peers;
    load_view last_sent; // this instance's demand, as last composed
    std::map<base::upstream_class_id, std::array<peak, base::tier_count>> peaks;
};

} // namespace greengagedrum::capacity
