#include <greengagedrum/quota/silent_peers.hpp>

#include <algorithm>

namespace greengagedrum::quota
{

namespace
{

// How long a share stays reserved for a silent peer. A peer that is lost for
// good is never heard again, and its share must not be lost with it. Partitions
// up to 12 s were tested; this is more than twice as long.
constexpr base::duration reservation_time = std::chrono::seconds(30);

// A share of unreported members that grows by more than this is a new
// partition; single lost members change it by less.
constexpr double new_partition_threshold = 0.1;

} // namespace

void silent_peers::on_own_usage(base::workspace_id workspace,
                                double amount,
                                base::instant now)
{
    this->own_rates[workspace].add(amount, now);
}

void silent_peers::on_peer_usage(base::slot_id peer,
                                 base::workspace_id workspace,
                                 double amount,
                                 base::instant now)
{
    this->peers[peer].rates[workspace].add(amount, now);
}

bool silent_peers::on_heard(base::slot_id peer,
                            bool stopping,
                            base::instant now,
                            base::duration silent_after)
{
    peer_state& state = this->peers[peer];
    state.silent_after = silent_after;
    const bool was_silent = state.silent;
    state.heard_at = now;
    state.stopping = stopping;
    state.silent = false;
    state.shares.clear();
    return was_silent;
}

void silent_peers::on_restart(base::slot_id peer)
{
    this->peers.erase(peer);
}

double silent_peers::total_rate(base::workspace_id workspace,
                                base::instant now) const
{
    double sum = 0;
    if (const auto found = this->own_rates.find(workspace);
        found != this->own_rates.end())
        sum += found->second.per_second(now);
    for (const auto& [id, peer] : this->peers) {
        const auto found = peer.rates.find(workspace);
        // The rate of a silent peer decays no further: the peer may go on as
        // before.
        if (found != peer.rates.end())
            sum += found->second.per_second(peer.silent ? peer.heard_at : now);
    }
    return sum;
}

void silent_peers::mark_silent(peer_state& peer,
                               const std::vector<workspace_rate>& limits,
                               base::instant now)
{
    peer.silent = true;
    const auto entry_count =
        static_cast<double>(this->peers.size() + this->never_heard + 1);
    for (const workspace_rate& limit : limits) {
        if (limit.per_second <= 0)
            continue;
        const double total = this->total_rate(limit.workspace, now);
        const auto found = peer.rates.find(limit.workspace);
        const double rate = found == peer.rates.end()
                                ? 0
                                : found->second.per_second(peer.heard_at);
        // Beyond the limit all entries are reduced in proportion.
        const double used_share = rate / std::max(total, limit.per_second);
        const double unused_share = std::max(0.0, 1 - total / limit.per_second);
        peer.shares[limit.workspace] = used_share + unused_share / entry_count;
    }
}

std::vector<base::slot_id>
silent_peers::detect_silent(const std::vector<workspace_rate>& limits,
                            base::instant now)
{
    std::vector<base::slot_id> out;
    for (auto& [id, peer] : this->peers) {
        if (peer.silent || now - peer.heard_at <= peer.silent_after)
            continue;
        this->mark_silent(peer, limits, now);
        out.push_back(id);
    }
    // Peers that announced their stop have ended; peers that were silent for
    // long are taken to be lost.
    std::erase_if(this->peers, [&](const auto& entry) {
        const peer_state& peer = entry.second;
        return peer.silent &&
               (peer.stopping || now - peer.heard_at > reservation_time);
    });
    return out;
}

// Failure guarded against: an entry starts on one side of a partition and has
// heard nobody. For each peer that its settings name, an equal share is
// reserved, for as long as for a peer that fell silent.
double silent_peers::never_heard_share(base::instant now) const
{
    if (this->never_heard == 0 || now - this->started > reservation_time)
        return 0;
    return static_cast<double>(this->never_heard) /
           static_cast<double>(this->peers.size() + this->never_heard + 1);
}

// A large increase is a new partition.
void silent_peers::set_unreported_share(double share, base::instant now)
{
    if (share > this->unreported + new_partition_threshold)
        this->unreported_since = now;
    this->unreported = share;
}

// Failure guarded against: two parts of a data centre can't hear each other,
// each has a dispatcher, and each of these gives out what the whole data centre
// may use. `heard_share`: the share of the limit that belongs to heard peers
// and this entry.
double silent_peers::unreported_share(double heard_share) const
{
    const auto heard_count =
        std::count_if(this->peers.begin(),
                      this->peers.end(),
                      [](const auto& entry) { return !entry.second.silent; });
    return this->unreported * heard_share /
           static_cast<double>(heard_count + 1);
}

assumed_usage silent_peers::assumed_usage_of(base::workspace_id workspace,
                                             base::instant now) const
{
    assumed_usage out;
    out.share = this->never_heard_share(now);
    out.since = out.share > 0 ? this->started : now;
    for (const auto& [id, peer] : this->peers) {
        const auto found = peer.shares.find(workspace);
        if (found == peer.shares.end())
            continue;
        out.share += found->second;
        out.since = std::min(out.since, peer.heard_at);
    }
    out.share = std::min(out.share, 1.0);
    if (this->unreported > 0) {
        out.share += this->unreported_share(1 - out.share);
        out.since = std::min(out.since, this->unreported_since);
    }
    return out;
}

} // namespace greengagedrum::quota
