#include <greengagedrum/entry/cluster_state.hpp>
#include <greengagedrum/placement/mix.hpp>
#include <greengagedrum/platform/documents.hpp>

#include <algorithm>
#include <memory>
#include <set>

namespace greengagedrum::entry
{

namespace
{

// Leases end 3.6 s after their last renewal. Only an outage at least this long
// is treated as one in which leases may have expired; a shorter one is taken
// for a lost packet.
constexpr base::duration min_outage = std::chrono::milliseconds(1000);

// Live upstreams report again within this time after the store is back.
constexpr base::duration report_grace_period = std::chrono::seconds(2);

// Delay before a removal reported only by a peer takes effect while the store
// is unreachable from here. It is short because the removal may be of a
// draining upstream, which must get no new work after two seconds.
constexpr base::duration peer_removal_delay = std::chrono::milliseconds(1200);

// Above this number of items, the oldest removed or unreadable one is dropped.
// They are kept for peers that have not seen the removal yet.
constexpr std::size_t max_items = 4096;

bool is_evacuation(const routing::store_item& item)
{
    return !platform::evacuated_data_centre(item.key).empty();
}

std::uint64_t content_hash(const routing::published_upstream& one)
{
    std::uint64_t out = placement::mix(
        one.id.value, base::hash_name(base::to_string(one.address)));
    out = placement::mix(out, one.service.value);
    out = placement::mix(out, one.slots);
    out = placement::mix(out, one.warmup.count() > 0 ? 1 : 2);
    return placement::mix(out, one.leaving ? 1 : 2);
}

} // namespace

cluster_changes
cluster_state::apply(const routing::store_item_list& listed_items,
                     std::uint64_t as_of,
                     bool complete,
                     base::instant now)
{
    cluster_changes out;
    // Evacuations are applied first, so that an upstream listed together with
    // its evacuation is not added.
    for (const routing::store_item& one : listed_items) {
        if (is_evacuation(one))
            this->apply_item(one, now, out);
    }
    for (const routing::store_item& one : listed_items) {
        if (!is_evacuation(one))
            this->apply_item(one, now, out);
    }
    if (complete) {
        std::set<std::string_view> listed;
        for (const routing::store_item& one : listed_items)
            listed.insert(one.key);
        std::vector<std::string> missing;
        for (const auto& [key, item] : this->items) {
            if (!item.removed && item.revision <= as_of &&
                !listed.contains(key) && key != platform::configuration_key)
                missing.push_back(key);
        }
        for (const std::string& key : missing)
            this->apply_item({key, {}, as_of, true}, now, out);
    }
    this->revision = std::max(this->revision, as_of);
    this->listed = this->listed || (complete && as_of > 0);
    return out;
}

void cluster_state::confirm_listing(std::uint64_t as_of)
{
    this->revision = std::max(this->revision, as_of);
    this->listed = this->listed || as_of > 0;
}

cluster_changes cluster_state::apply(const gossip::item_transfer& transfer,
                                     base::instant now)
{
    cluster_changes out = this->apply(
        transfer.items, transfer.store_revision, transfer.complete, now);
    this->last_change = std::max(this->last_change, transfer.change_revision);
    return out;
}

void cluster_state::apply_item(const routing::store_item& item,
                               base::instant now,
                               cluster_changes& out)
{
    const bool configuration = item.key == platform::configuration_key;
    const bool evacuation = is_evacuation(item);
    if (!configuration && !evacuation &&
        platform::upstream_name(item.key).empty())
        return;
    const auto existing = this->items.find(item.key);
    if (existing != this->items.end() &&
        existing->second.revision >= item.revision)
        return;
    if (evacuation) {
        this->apply_evacuation(item, out);
        this->items[item.key] = item;
        return;
    }
    const bool readable = configuration ? this->apply_configuration(item, out)
                                        : this->apply_upstream(item, now, out);
    routing::store_item& kept = this->items[item.key];
    if (configuration)
        this->keep_former_configuration(std::move(kept));
    kept = item;
    // Values written by other programs are neither stored nor passed on to
    // peers.
    if (!readable && !configuration)
        kept.value.clear();
    if (kept.value.empty() && this->items.size() >= max_items)
        this->drop_oldest_empty_item();
}

// All peers know of the oldest removal by now, so it can be dropped.
void cluster_state::drop_oldest_empty_item()
{
    auto oldest = this->items.end();
    for (auto one = this->items.begin(); one != this->items.end(); ++one) {
        const routing::store_item& item = one->second;
        const bool empty =
            item.removed || (item.value.empty() && !is_evacuation(item));
        if (empty && (oldest == this->items.end() ||
                      one->second.revision < oldest->second.revision))
            oldest = one;
    }
    if (oldest == this->items.end())
        return;
    this->change_numbers.erase(oldest->first);
    this->update_digest(oldest->first, 0);
    this->item_hashes.erase(oldest->first);
    this->start_times.forget(oldest->first);
    this->items.erase(oldest);
}

bool cluster_state::apply_configuration(const routing::store_item& item,
                                        cluster_changes& out)
{
    if (item.removed)
        return true; // operators replace the configuration and never delete it
    const auto read = platform::read_configuration(item);
    if (!read) {
        out.unreadable_items.push_back(item.key + ": " + read.error());
        return false;
    }
    if (this->table && read->version < this->configuration_version()) {
        out.unreadable_items.push_back(item.key +
                                       ": version below the one in force");
        return true;
    }
    this->table = std::make_shared<const routing::route_table>(
        std::make_shared<const routing::configuration>(*read));
    out.configuration_changed = true;
    this->last_change = std::max(this->last_change, item.revision);
    this->record_change(item.key);
    this->update_digest(item.key, item.revision);
    return true;
}

// An upstream that was evacuated may be cold, whatever warm-up it published
// before.
routing::published_upstream
cluster_state::with_full_warmup(const routing::published_upstream& one) const
{
    routing::published_upstream out = one;
    const routing::service* service =
        this->table ? this->table->find_service(one.service) : nullptr;
    if (service != nullptr)
        out.warmup = std::max(out.warmup, service->warmup);
    return out;
}

void cluster_state::apply_evacuation(const routing::store_item& item,
                                     cluster_changes& out)
{
    const std::string data_centre(platform::evacuated_data_centre(item.key));
    const bool evacuated = !item.removed;
    const bool was = this->directory.evacuated().contains(data_centre);
    for (const routing::published_upstream& one :
         this->directory.set_evacuated(data_centre, evacuated)) {
        if (evacuated)
            out.removed.push_back({one.name, one.id});
        else
            out.added.push_back(this->with_full_warmup(one));
    }
    if (was != evacuated)
        out.evacuations.push_back({data_centre, evacuated, item.revision});
    this->last_change = std::max(this->last_change, item.revision);
    this->record_change(item.key);
    this->update_digest(item.key, evacuated ? item.revision : 0);
}

// An unreadable value under an upstream's key was written by another program.
// The upstream known under that key is removed; all others stay.
bool cluster_state::apply_upstream(const routing::store_item& item,
                                   base::instant now,
                                   cluster_changes& out)
{
    const std::string name(platform::upstream_name(item.key));
    const auto before = this->directory.latest_incarnation(name);
    routing::upstream_change change = routing::upstream_change::none;
    bool readable = true;
    std::uint64_t hash = 0; // the item describes no upstream
    if (item.removed) {
        this->start_times.forget(item.key);
        change = this->directory.remove(
            name, item.revision, this->removal_deadline(now));
    } else if (const auto read = this->read_upstream(item, out)) {
        change = this->directory.update(*read);
        hash = content_hash(*read);
    } else {
        readable = false;
        out.unreadable_items.push_back(item.key + ": " + read.error());
        change = this->directory.remove(name, item.revision, std::nullopt);
    }
    this->update_digest(item.key, hash);
    if (item.removed || change != routing::upstream_change::none) {
        this->last_change = std::max(this->last_change, item.revision);
        this->record_change(item.key);
    }
    this->record_upstream_change(name, change, before, out);
    return readable;
}

// XOR adds and removes an item's hash independently of the order in which items
// arrive.
void cluster_state::update_digest(const std::string& key, std::uint64_t hash)
{
    std::uint64_t& stored = this->item_hashes[key];
    const std::uint64_t updated =
        hash == 0 ? 0 : placement::mix(base::hash_name(key), hash);
    this->combined_digest ^= stored ^ updated;
    stored = updated;
}

void cluster_state::record_change(const std::string& key)
{
    this->applied_changes += 1;
    this->change_numbers[key] = this->applied_changes;
}

tl::expected<routing::published_upstream, std::string>
cluster_state::read_upstream(const routing::store_item& item,
                             cluster_changes& out)
{
    auto read = platform::read_upstream(item);
    if (!read) {
        this->start_times.forget(item.key);
        return read;
    }
    const bool was_expected = this->start_times.is_expected();
    this->start_times.record(item.key, read->started_unix_ms.has_value());
    if (!this->start_times.is_expected())
        return read;
    if (!was_expected)
        this->drop_upstreams_without_start_time(out);
    if (!read->started_unix_ms)
        return tl::unexpected(std::string("no start time"));
    return read;
}

void cluster_state::drop_upstreams_without_start_time(cluster_changes& out)
{
    std::vector<routing::published_upstream> without_start_time;
    this->directory.for_each_usable(
        [&](const routing::published_upstream& one) {
            if (!one.started_unix_ms)
                without_start_time.push_back(one);
        });
    for (const routing::published_upstream& one : without_start_time) {
        this->directory.remove(one.name, one.revision, std::nullopt);
        out.removed.push_back({one.name, one.id});
    }
}

void cluster_state::record_upstream_change(
    const std::string& name,
    routing::upstream_change change,
    std::optional<base::upstream_id> before,
    cluster_changes& out)
{
    using routing::upstream_change;
    if (change == upstream_change::none)
        return;
    if (before && (change == upstream_change::left ||
                   change == upstream_change::restarted))
        out.removed.push_back({name, *before});
    if (change == upstream_change::left)
        return;
    const auto incarnation = this->directory.latest_incarnation(name);
    out.added.push_back(*this->directory.find_usable(*incarnation));
}

std::optional<base::instant>
cluster_state::removal_deadline(base::instant now) const
{
    if (this->store_failing_since &&
        now - *this->store_failing_since >= min_outage)
        return now + peer_removal_delay;
    if (now < this->removals_deferred_until)
        return this->removals_deferred_until;
    return std::nullopt;
}

void cluster_state::on_store_answered(base::instant now)
{
    if (this->store_failing_since &&
        now - *this->store_failing_since >= min_outage)
        this->removals_deferred_until = now + report_grace_period;
    this->store_failing_since.reset();
}

void cluster_state::on_store_failed(base::instant now)
{
    if (!this->store_failing_since)
        this->store_failing_since = now;
}

cluster_changes cluster_state::expire(base::instant now)
{
    cluster_changes out;
    std::vector<std::string> expired;
    this->directory.remove_expired(now, expired);
    for (const std::string& name : expired)
        out.removed.push_back(
            {name, *this->directory.latest_incarnation(name)});
    return out;
}

cluster_changes cluster_state::mark_misdirected(base::upstream_id upstream,
                                                bool reading_again)
{
    cluster_changes out;
    const routing::published_upstream* usable =
        this->directory.find_usable(upstream);
    if (usable == nullptr)
        return out;
    out.removed.push_back({usable->name, upstream});
    this->directory.mark_misdirected(upstream);
    if (reading_again)
        this->update_digest(std::string(platform::upstream_prefix) +
                                out.removed.front().name,
                            0);
    return out;
}

std::uint64_t cluster_state::configuration_revision() const
{
    return this->table ? this->table->config().revision : 0;
}

std::int64_t cluster_state::configuration_version() const
{
    return this->table ? this->table->config().version : 0;
}

} // namespace greengagedrum::entry
