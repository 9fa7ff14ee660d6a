#include <greengagedrum/entry/transfer_sources.hpp>

#include <algorithm>

namespace greengagedrum::entry
{

namespace
{

// Transfers that an entry sends at a time, where its link is unknown.
constexpr std::size_t usual_transfers = 3;

// The smallest link of a receiver, 10 Mbit/s: a sender that serves as many as
// its link has of these delays none of them.
constexpr std::uint64_t receiver_bytes_per_second = 1'250'000;

// Each transfer also takes processor time to compress.
constexpr std::uint64_t max_transfers = 8;

// A receiver that has not reported the configuration by then has failed, or its
// link is so slow that others need not wait for it.
constexpr base::duration transfer_timeout = std::chrono::milliseconds(500);

std::size_t transfers_at_once(const configuration_holder& of)
{
    if (of.link_bytes_per_second == 0)
        return usual_transfers;
    return std::clamp<std::uint64_t>(
        of.link_bytes_per_second / receiver_bytes_per_second, 1, max_transfers);
}

} // namespace

std::size_t transfer_sources::load_of(gossip::ipv4_address sender) const
{
    return static_cast<std::size_t>(std::count_if(
        this->transfers.begin(), this->transfers.end(), [&](const auto& one) {
            return one.second.sender == sender;
        }));
}

std::optional<gossip::ipv4_address>
transfer_sources::assign(gossip::ipv4_address receiver,
                         std::span<const configuration_holder> holders,
                         std::uint64_t revision,
                         base::instant now)
{
    std::erase_if(this->transfers, [&](const auto& one) {
        return now - one.second.started_at >= transfer_timeout;
    });
    // One that asks again while it is assigned a sender could not reach it.
    std::optional<gossip::ipv4_address> failed;
    if (const auto found = this->transfers.find(receiver);
        found != this->transfers.end()) {
        failed = found->second.sender;
        this->transfers.erase(found);
    }
    const bool all_congested =
        std::all_of(holders.begin(), holders.end(), [&](const auto& one) {
            return one.congested || one.address == receiver;
        });
    // The holder with the largest free part of its link, in order to compare
    // links of different capacity.
    std::optional<gossip::ipv4_address> best;
    double least = 1;
    for (const configuration_holder& holder : holders) {
        const bool is_own = holder.address == holders.front().address;
        if (holder.address == receiver ||
            (holder.address == failed && !is_own) ||
            (holder.congested && !all_congested))
            continue;
        const double load = static_cast<double>(this->load_of(holder.address)) /
                            static_cast<double>(transfers_at_once(holder));
        if (load < least) {
            best = holder.address;
            least = load;
        }
    }
    if (best)
        this->transfers[receiver] = {*best, revision, now};
    return best;
}

void transfer_sources::on_revision(gossip::ipv4_address entry,
                                   std::uint64_t revision)
{
    const auto found = this->transfers.find(entry);
    if (found != this->transfers.end() && revision >= found->second.revision)
        this->transfers.erase(found);
}

} // namespace greengagedrum::entry
