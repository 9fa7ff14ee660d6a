#include <greengagedrum/entry/beliefs.hpp>
#include <greengagedrum/platform/documents.hpp>

#include <algorithm>
#include <memory>
#include <set>

namespace greengagedrum::entry
{

namespace
{

// Leases end after 3.6 s without a renewal. An outage this long may have ended
// some of them; a shorter one is a lost packet.
constexpr base::duration outage_least = std::chrono::milliseconds(1000);

// Upstreams that live report anew within this time of the store's return.
constexpr base::duration reported_anew = std::chrono::seconds(2);

// A removal that only a peer tells of, while the store is out of reach here:
// it may stand for a leaver, which is to get nothing more within two seconds.
constexpr base::duration told_by_peer = std::chrono::milliseconds(1200);

// Removed items kept for peers that have not heard of it.
constexpr std::size_t removed_most = 4096;

} // namespace

belief_changes beliefs::learn(const routing::item_list& news,
                              std::uint64_t as_of,
                              bool whole,
                              base::instant now)
{
    belief_changes out;
    for (const routing::published_item& one : news)
        this->take(one, now, out);
    if (whole) {
        std::set<std::string_view> listed;
        for (const routing::published_item& one : news)
            listed.insert(one.key);
        std::vector<std::string> missing;
        for (const auto& [key, item] : this->items) {
            if (!item.removed && item.revision <= as_of &&
                !listed.contains(key) && key != platform::configuration_key)
                missing.push_back(key);
        }
        for (const std::string& key : missing)
            this->take({key, {}, as_of, true}, now, out);
    }
    this->revision = std::max(this->revision, as_of);
    return out;
}

belief_changes beliefs::learn(const gossip::item_transfer& passed,
                              base::instant now)
{
    belief_changes out =
        this->learn(passed.items, passed.store_revision, passed.whole, now);
    this->change = std::max(this->change, passed.change_revision);
    return out;
}

void beliefs::take(const routing::published_item& item,
                   base::instant now,
                   belief_changes& out)
{
    const bool configuration = item.key == platform::configuration_key;
    if (!configuration && platform::upstream_name(item.key).empty())
        return;
    const auto known = this->items.find(item.key);
    if (known != this->items.end() && known->second.revision >= item.revision)
        return;
    if (configuration)
        this->take_configuration(item, out);
    else
        this->take_upstream(item, now, out);
    this->items.insert_or_assign(item.key, item);
    if (!item.removed || this->items.size() < removed_most)
        return;
    // The oldest removed one is known to all by now.
    auto oldest = this->items.end();
    for (auto one = this->items.begin(); one != this->items.end(); ++one) {
        if (one->second.removed &&
            (oldest == this->items.end() ||
             one->second.revision < oldest->second.revision))
            oldest = one;
    }
    if (oldest != this->items.end())
        this->items.erase(oldest);
}

void beliefs::take_configuration(const routing::published_item& item,
                                 belief_changes& out)
{
    if (item.removed)
        return; // the operator replaces it, and never takes it away
    const auto read = platform::read_configuration(item);
    if (!read) {
        out.faults.push_back(item.key + ": " + read.error());
        return;
    }
    if (this->table && read->version < this->configuration_version()) {
        out.faults.push_back(item.key + ": an older version was written");
        return;
    }
    this->table = std::make_shared<const routing::route_table>(
        std::make_shared<const routing::configuration>(*read));
    out.configuration = true;
    this->change = std::max(this->change, item.revision);
}

void beliefs::take_upstream(const routing::published_item& item,
                            base::instant now,
                            belief_changes& out)
{
    const std::string name(platform::upstream_name(item.key));
    routing::upstream_change change = routing::upstream_change::none;
    if (item.removed) {
        change = this->directory.removed(
            name, item.revision, this->lapse_bound(now));
    } else {
        const auto read = platform::read_upstream(item);
        if (!read) {
            out.faults.push_back(item.key + ": " + read.error());
            return;
        }
        change = this->directory.learn(*read);
    }
    if (item.removed || change != routing::upstream_change::none)
        this->change = std::max(this->change, item.revision);
    if (change == routing::upstream_change::left)
        out.left.push_back(name);
    else if (change != routing::upstream_change::none)
        out.joined.push_back(*this->directory.find(base::upstream_id(name)));
}

// ---- The store's absence --------------------------------------------------

std::optional<base::instant> beliefs::lapse_bound(base::instant now) const
{
    if (this->away_since && now - *this->away_since >= outage_least)
        return now + told_by_peer;
    if (now < this->doubted_until)
        return this->doubted_until;
    return std::nullopt;
}

void beliefs::store_answered(base::instant now)
{
    if (this->away_since && now - *this->away_since >= outage_least)
        this->doubted_until = now + reported_anew;
    this->away_since.reset();
}

void beliefs::store_failed(base::instant now)
{
    if (!this->away_since)
        this->away_since = now;
}

belief_changes beliefs::expire(base::instant now)
{
    belief_changes out;
    this->directory.expire(now, out.left);
    return out;
}

belief_changes beliefs::misdirected(base::upstream_id upstream)
{
    belief_changes out;
    const routing::published_upstream* known = this->directory.find(upstream);
    if (known == nullptr)
        return out;
    out.left.push_back(known->name);
    this->directory.misdirected(upstream);
    return out;
}

// ---- What is known --------------------------------------------------------

std::uint64_t beliefs::configuration_revision() const
{
    return this->table ? this->table->source().revision : 0;
}

std::int64_t beliefs::configuration_version() const
{
    return this->table ? this->table->source().version : 0;
}

gossip::item_transfer beliefs::items_since(std::uint64_t since) const
{
    gossip::item_transfer out;
    out.store_revision = this->revision;
    out.change_revision = this->change;
    out.whole = since == 0;
    for (const auto& [key, item] : this->items) {
        if (item.revision > since && !(out.whole && item.removed))
            out.items.push_back(item);
    }
    return out;
}

} // namespace greengagedrum::entry
