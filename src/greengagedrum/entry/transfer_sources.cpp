#include <greengagedrum/entry/transfer_sources.hpp>

#include <algorithm>

namespace greengagedrum::entry
{

namespace
{

constexpr std::size_t max_transfers_of_a_sender = 3;

// A receiver that has not reported the configuration by then has failed, or its
// link is so slow that others need not wait for it.
constexpr base::duration transfer_timeout = std::chrono::milliseconds(500);

} // namespace

std::optional<gossip::ipv4_address>
transfer_sources::assign(gossip::ipv4_address receiver,
                         std::span<const gossip::ipv4_address> holders,
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
    const auto load_of = [this](gossip::ipv4_address sender) {
        return static_cast<std::size_t>(std::count_if(
            this->transfers.begin(),
            this->transfers.end(),
            [&](const auto& one) { return one.second.sender == sender; }));
    };
    std::optional<gossip::ipv4_address> best;
    std::size_t least = max_transfers_of_a_sender;
    for (const gossip::ipv4_address holder : holders) {
        const bool is_own = holder == holders.front();
        if (holder == receiver || (holder == failed && !is_own))
            continue;
        const std::size_t load = load_of(holder);
        if (load < least) {
            best = holder;
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
