// Transfers of configuration items between entries: what an entry fetches, and
// what it answers.
#include <greengagedrum/entry/peer_protocol.hpp>
#include <greengagedrum/entry/to_milliseconds.hpp>

#include <algorithm>

namespace greengagedrum::entry
{

namespace
{

constexpr base::duration fetch_interval = std::chrono::milliseconds(250);
// A transfer takes as long as its size and the links require.
constexpr relay::answer_limits fetch_limits{std::chrono::milliseconds(400),
                                            std::chrono::seconds(5)};
// Where bytes may wait for the link between two regions.
constexpr relay::answer_limits far_fetch_limits{std::chrono::milliseconds(1000),
                                                std::chrono::seconds(5)};

// Answers below this size are sent at once, whoever else is being served.
constexpr std::size_t large_answer_bytes = 8U << 10U;

// A member reports ten times a second; one that was silent for longer may be
// gone.
constexpr base::duration holder_max_age = std::chrono::milliseconds(500);

std::string text_of(gossip::ipv4_address address)
{
    return relay::asio::ip::address_v4(address).to_string();
}

} // namespace

void peer_protocol::fetch_if_outdated(base::instant now)
{
    if (this->fetching || now - this->fetch_started_at < fetch_interval)
        return;
    const auto source =
        this->table.newest_store_source(now, ++this->source_rotation);
    if (!source ||
        (source->store_revision <= this->state.cluster.store_revision() &&
         source->change_revision <= this->state.cluster.last_change_revision()))
        return;
    this->fetch_items(source->address, this->newer_items_query(), now);
}

item_query peer_protocol::newer_items_query() const
{
    if (this->several_regions && !this->state.cluster.has_listing())
        return {0, std::nullopt, std::nullopt, std::nullopt};
    return {std::min(this->state.cluster.last_change_revision(),
                     this->state.cluster.configuration_revision()),
            std::nullopt,
            std::nullopt,
            std::nullopt};
}

void peer_protocol::fetch_items(gossip::ipv4_address of,
                                item_query query,
                                base::instant now)
{
    this->fetching = true;
    this->fetch_started_at = now;
    query.held_configuration =
        this->reference_failed
            ? 0
            : this->state.cluster.newest_configuration().revision;
    this->transport.fetch(
        {text_of(of), this->own_settings.control_address.port},
        item_query_target(query),
        this->several_regions && !this->dispatcher ? far_fetch_limits
                                                   : fetch_limits,
        [this, of](tl::expected<relay::fetched, std::string> got) {
            this->fetching = false;
            if (!got)
                return this->log_failed_fetch(of, got.error());
            this->on_fetched(of, *got);
        });
}

void peer_protocol::on_fetched(gossip::ipv4_address from,
                               const relay::fetched& got)
{
    if (this->election.is_in_other_region(from))
        this->state.metrics.add(telemetry::process_count{
            telemetry::counter::region_transfer_bytes, got.body.size()});
    if (got.status != relay::status_ok)
        return this->log_failed_fetch(from,
                                      "status " + std::to_string(got.status));
    if (const auto referral = gossip::decode_referral(got.body))
        return this->on_referral(from, *referral);
    const auto items =
        gossip::decode_items(got.body, [this](std::uint64_t revision) {
            return this->state.cluster.configuration_at(revision);
        });
    this->reference_failed = !items;
    if (!items)
        return this->log_failed_fetch(from, "undecodable items");
    const base::instant now = this->state.clock();
    this->state.log.write(
        now,
        "peers",
        "peer_gave_items",
        {{"peer", text_of(from)},
         {"items", items->items.size()},
         {"complete", items->complete},
         {"bytes", got.body.size()},
         {"after_ms", to_milliseconds(now - this->fetch_started_at)}});
    this->synced_position = {items->incarnation, items->change_count};
    this->items_received_at = now;
    this->events.items_received(*items);
    // The dispatcher counts the transfer as running until this entry reports
    // the configuration.
    if (got.body.size() >= large_answer_bytes)
        this->schedule_gossip();
}

void peer_protocol::on_referral(gossip::ipv4_address from,
                                const gossip::transfer_referral& referral)
{
    const base::instant now = this->state.clock();
    this->state.log.write(
        now,
        "peers",
        "peer_deferred_items",
        {{"peer", text_of(from)},
         {"ask_instead",
          referral.ask_instead != 0 ? text_of(referral.ask_instead)
                                    : std::string("none")}});
    if (referral.ask_instead != 0)
        this->fetch_items(referral.ask_instead, this->newer_items_query(), now);
}

void peer_protocol::log_failed_fetch(gossip::ipv4_address from,
                                     const std::string& why)
{
    const base::instant now = this->state.clock();
    this->state.log.write(
        now,
        "peers",
        "peer_gave_no_items",
        {{"peer", text_of(from)},
         {"after_ms", to_milliseconds(now - this->fetch_started_at)},
         {"why", why}});
}

// This entry, and its members that hold the same configuration.
std::vector<configuration_holder> peer_protocol::configuration_holders() const
{
    const base::instant now = this->state.clock();
    std::vector<configuration_holder> out{
        {this->table.address(),
         this->duties_by_load ? static_cast<std::uint64_t>(
                                    this->own_settings.link_bytes_per_second)
                              : 0,
         this->is_congested()}};
    for (const auto& [slot, one] : this->members) {
        if (now - one.heard_at <= holder_max_age &&
            one.configuration_revision ==
                this->state.cluster.configuration_revision())
            out.push_back(
                {one.address, one.link_bytes_per_second, one.congested});
    }
    return out;
}

std::string peer_protocol::answer(const item_query& query)
{
    std::string items =
        answer_item_query(query, this->state.cluster, this->incarnation);
    const std::uint64_t revision = this->state.cluster.configuration_revision();
    const bool has_configuration =
        query.held_configuration && *query.held_configuration < revision;
    if (!query.asking || !has_configuration || !this->is_serving_members() ||
        items.size() < large_answer_bytes)
        return items;
    const auto sender = this->sources.assign(*query.asking,
                                             this->configuration_holders(),
                                             revision,
                                             this->state.clock());
    if (sender == this->table.address())
        return items;
    return gossip::encode(gossip::transfer_referral{sender.value_or(0)});
}

} // namespace greengagedrum::entry
