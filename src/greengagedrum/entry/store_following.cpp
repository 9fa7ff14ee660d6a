// Which entry's reads of the store this one relies on, and the transfer of its
// items.
#include <greengagedrum/entry/peer_protocol.hpp>
#include <greengagedrum/entry/to_milliseconds.hpp>

#include <algorithm>
#include <utility>

namespace greengagedrum::entry
{

namespace
{

// Minimum interval of a member's queries for changed items.
constexpr base::duration sync_interval = std::chrono::milliseconds(100);

// Number of standby entries that read the store as soon as their dispatcher
// possibly does not.
constexpr std::size_t standby_entries_reading_store = 3;

// The newest answer of the store to the entry that is followed is this old only
// if the store doesn't answer: its pause between calls is at most 1 s, a call
// waits 0.5 s.
constexpr base::duration outage_from = std::chrono::milliseconds(1900);

// A starting entry knows its peers after this time.
constexpr base::duration discovery_wait = std::chrono::milliseconds(300);

// Without items for so long, standby entries and dispatchers list the store
// themselves, and members after the longer time.
constexpr base::duration listing_wait = std::chrono::milliseconds(1500);
constexpr base::duration mesh_listing_wait = std::chrono::milliseconds(600);
constexpr base::duration member_listing_wait = std::chrono::seconds(4);

} // namespace

// A dispatcher reads the store for its members and passes every change on to
// them; so does one that is nearer to the store for other dispatchers.
void peer_protocol::sync_with_followed(const gossip::message& received,
                                       base::instant now)
{
    this->followed_digest = received.state_digest;
    this->track_store_outage(received.store_age, now);
    if (received.state_digest != this->state.cluster.content_digest()) {
        if (!this->fetching && now - this->fetch_started_at >= sync_interval)
            this->fetch_from_followed(received, now);
        return;
    }
    this->synced_position = {received.incarnation, received.change_count};
    // An equal state is no proof of a complete one while the followed entry has
    // no answers of the store itself.
    const bool is_recent =
        received.store_age <= this->store_answer_max_age() + far_message_delay;
    if (!this->several_regions || received.store_revision == 0 || !is_recent)
        return;
    this->followed_answer_at =
        std::max(this->followed_answer_at, now - received.store_age);
    this->state.cluster.confirm_listing(received.store_revision);
    this->events.listing_received(received.store_revision);
}

// Failure guarded against: leases of upstreams lapse in an outage of the store.
// The entry that reads it defers their removal, but one that only follows it
// would notice the outage later, or not at all, and remove them at once.
void peer_protocol::track_store_outage(base::duration store_age,
                                       base::instant now)
{
    if (!this->several_regions || this->dispatcher)
        return;
    if (store_age > outage_from)
        this->state.cluster.on_store_failed(now - store_age);
    else if (now - this->own_store_answer_at > outage_from)
        this->state.cluster.on_store_answered(now);
}

void peer_protocol::fetch_from_followed(const gossip::message& received,
                                        base::instant now)
{
    const std::uint64_t known =
        this->synced_position.incarnation == received.incarnation
            ? this->synced_position.changes
            : 0;
    this->fetch_items(
        received.address,
        {known, received.incarnation, std::nullopt, this->table.address()},
        now);
}

// Failure guarded against: the store rejects the dispatcher, or hangs. Then a
// few standby entries read it at once, and all other entries only when a change
// may be due. With all entries reading from time to time, 295 entries made
// 6,500 calls in 48 s.
bool peer_protocol::followed_reads_store(base::duration bound,
                                         base::instant now) const
{
    if (!this->followed_entry(now) ||
        this->followed_digest != this->state.cluster.content_digest())
        return false;
    const base::duration age = now - this->peer_store_answer_at;
    const base::duration max_age = this->store_answer_max_age();
    if (!this->dispatcher)
        return age <= max_age + far_message_delay;
    return age <= (this->is_standby(now) ? max_age : std::max(bound, max_age));
}

bool peer_protocol::is_standby(base::instant now) const
{
    return this->election.higher_ranked_count(now) <
           standby_entries_reading_store;
}

std::optional<gossip::ipv4_address>
peer_protocol::followed_entry(base::instant now) const
{
    if (this->dispatcher || !this->several_regions)
        return this->dispatcher;
    return this->duty.nearer_reader(now);
}

void peer_protocol::update_followed(base::instant now)
{
    if (!this->several_regions)
        return;
    const auto next = this->uses_dispatchers && !this->dispatcher
                          ? this->duty.nearer_reader(now)
                          : std::nullopt;
    if (std::exchange(this->followed, next) == next)
        return;
    this->state.log.write(
        now,
        "peers",
        "store_reader_followed",
        {{"reader",
          next ? relay::asio::ip::address_v4(*next).to_string()
               : std::string("none")},
         {"own_connect_ms",
          to_milliseconds(this->duty.latency().value_or(base::duration(0)))}});
}

// Members of a dispatcher that follows another one rely on that one's reads.
base::duration peer_protocol::own_store_age(base::instant now) const
{
    const bool relays = this->several_regions && this->uses_dispatchers &&
                        !this->dispatcher && this->followed_entry(now);
    return now - (relays ? std::max(this->own_store_answer_at,
                                    this->followed_answer_at)
                         : this->own_store_answer_at);
}

bool peer_protocol::measures_store() const
{
    return this->several_regions && !this->state.delegating;
}

// Failure guarded against: 150 entries in the region without the store start at
// once, and each lists its thousands of upstreams over the link between the
// regions. A read without a byte for 1.1 s was given up and begun again, and
// the configuration arrived 10 to 18 s late.
bool peer_protocol::awaits_listing() const
{
    if (!this->several_regions || this->state.cluster.has_listing())
        return false;
    const base::instant now = this->state.clock();
    const base::duration uptime = now - this->started_at;
    if (uptime < discovery_wait)
        return true;
    if (!this->uses_dispatchers)
        return uptime < mesh_listing_wait &&
               this->table.has_store_reader_in_data_centre(now);
    if (!this->followed_entry(now))
        return uptime<listing_wait&& this->election.higher_ranked_count(now)> 0;
    const base::instant since =
        std::max({this->started_at, this->items_received_at});
    return now - since <
           (this->is_standby(now) ? listing_wait : member_listing_wait);
}

} // namespace greengagedrum::entry
