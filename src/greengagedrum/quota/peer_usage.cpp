// How a limiter counts what its peers report, and what it keeps of peers that
// have ended.
#include <greengagedrum/quota/usage_limiter.hpp>

#include <algorithm>
#include <numeric>
#include <utility>
#include <vector>

namespace greengagedrum::quota
{

void usage_limiter::on_peer_report(base::slot_id peer,
                                   base::incarnation incarnation,
                                   std::span<const workspace_usage> usage,
                                   bool stopping,
                                   base::instant now,
                                   base::duration silent_after)
{
    const auto [found, first_heard] = this->peers.try_emplace(peer);
    peer_state& state = found->second;
    const bool was_restarted = !first_heard && state.incarnation != incarnation;
    if (was_restarted) {
        this->drop_waiting(state);
        state = peer_state();
        this->silent_peer_shares.on_restart(peer);
    }
    state.incarnation = incarnation;
    state.reported_at = now;
    const bool silent_until_now =
        this->silent_peer_shares.on_heard(peer, stopping, now, silent_after);
    const bool returned =
        std::exchange(state.forgotten, false) || silent_until_now;
    // A peer's report of usage before this process started is merged once, when
    // the peer is first heard.
    const bool merge_report = first_heard && this->started_within_window(now);
    for (const workspace_usage& reported : usage) {
        peer_usage& known_usage = state.usage[reported.workspace];
        if (merge_report) {
            known_usage.sent = static_cast<double>(reported.sent_total);
            this->merge_history(reported, now);
        }
        this->count_peer_usage(peer,
                               known_usage,
                               reported,
                               first_heard || was_restarted || returned,
                               now);
    }
}

// Of a peer that is heard for the first time, or again after silence, the usage
// within its window counts. The usage counts as of now, since the report holds
// no times.
void usage_limiter::count_peer_usage(base::slot_id peer,
                                     peer_usage& known_usage,
                                     const workspace_usage& reported,
                                     bool first_report,
                                     base::instant now)
{
    const auto sent_total = static_cast<double>(reported.sent_total);
    // Most reports repeat known amounts for most workspaces.
    if (!first_report && sent_total == known_usage.sent &&
        reported.waiting == known_usage.waiting)
        return;
    const double new_sent = std::max(0.0, sent_total - known_usage.sent);
    const double counted =
        first_report ? std::min<double>(new_sent, reported.sent_in_window)
                     : new_sent;
    const double new_waiting = reported.waiting - known_usage.waiting;
    known_usage = {sent_total, static_cast<double>(reported.waiting)};
    const auto found = this->limits.find(reported.workspace);
    if (found == this->limits.end())
        return;
    workspace_limit& limit = found->second;
    const limit_rules current_rules = this->rules(now);
    limit.refill(current_rules, now);
    limit.drop_expired(this->tolerated.window, now);
    limit.peers_waiting = std::max(0.0, limit.peers_waiting + new_waiting);
    limit.all_window.add(counted, now);
    this->silent_peer_shares.on_peer_usage(
        peer, reported.workspace, counted, now);
    // What the peer sent before it was heard is not taken from the bucket.
    if (!first_report)
        limit.refund(-(counted + new_waiting), current_rules, now);
}

// When an entry restarts while a workspace's window is in use, each peer
// reports its own usage, and all peers report the usage of all entries, which
// includes that of this entry's former process. Each amount counts once.
void usage_limiter::merge_history(const workspace_usage& reported,
                                  base::instant now)
{
    const auto found = this->limits.find(reported.workspace);
    if (found == this->limits.end())
        return;
    workspace_limit& limit = found->second;
    const double reported_total =
        std::accumulate(reported.all_sent_in_window.begin(),
                        reported.all_sent_in_window.end(),
                        0.0);
    const double uncounted_part =
        reported_total > 0
            ? std::max(0.0, 1 - limit.counted_history / reported_total)
            : 0;
    const auto parts = static_cast<int>(reported.all_sent_in_window.size());
    // Each part counts as of its end, so up to one part too long, never too
    // short.
    for (int part = 0; part < parts; ++part)
        limit.all_window.add_at(
            uncounted_part *
                reported.all_sent_in_window[static_cast<std::size_t>(part)],
            now - part * this->tolerated.window / parts);
    limit.counted_history = std::max(limit.counted_history, reported_total);
    limit.reported_by_peers += reported.sent_in_window;
    limit.all_window.add(
        std::max(0.0, limit.reported_by_peers - limit.counted_history), now);
    limit.counted_history =
        std::max(limit.counted_history, limit.reported_by_peers);
}

void usage_limiter::drop_waiting(peer_state& peer)
{
    for (auto& [workspace, known_usage] : peer.usage) {
        const auto found = this->limits.find(workspace);
        if (found != this->limits.end())
            found->second.peers_waiting = std::max(
                0.0, found->second.peers_waiting - known_usage.waiting);
        known_usage.waiting = 0;
    }
}

// A dispatcher that stops is heard until its own requests have ended. Its
// counted usage is kept as long as the window, so that only new usage counts;
// otherwise each of its messages would count its whole window again.
void usage_limiter::forget_peer(base::slot_id peer)
{
    const auto found = this->peers.find(peer);
    if (found == this->peers.end() || found->second.forgotten)
        return;
    this->drop_waiting(found->second);
    found->second.forgotten = true;
    this->silent_peer_shares.forget(peer);
}

void usage_limiter::remove_forgotten(base::instant now)
{
    std::erase_if(this->peers, [&](const auto& entry) {
        const peer_state& peer = entry.second;
        return peer.forgotten &&
               now - peer.reported_at > this->tolerated.window;
    });
}

void usage_limiter::forget_peers()
{
    std::vector<base::slot_id> known;
    for (const auto& [peer, state] : this->peers)
        known.push_back(peer);
    for (const base::slot_id peer : known)
        this->forget_peer(peer);
}

} // namespace greengagedrum::quota
