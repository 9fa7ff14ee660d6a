// What peers tell a limiter of their uses, and what it keeps of those that are
// gone.
#include <greengagedrum/quota/usage_limiter.hpp>

#include <algorithm>
#include <numeric>
#include <utility>
#include <vector>

namespace greengagedrum::quota
{

void usage_limiter::on_peer_report(base::slot_id peer,
                                   base::incarnation life,
                                   std::span<const workspace_usage> uses,
                                   bool stopping,
                                   base::instant now)
{
    const auto [found, fresh] = this->peers.try_emplace(peer);
    peer_state& known = found->second;
    const bool restarted = !fresh && known.life != life;
    if (restarted) {
        this->forget_waiting(known);
        known = peer_state();
        this->absent.restarted(peer);
    }
    known.life = life;
    known.told_at = now;
    const bool silent_until_now = this->absent.heard(peer, stopping, now);
    const bool returned =
        std::exchange(known.forgotten, false) || silent_until_now;
    // Of what was before this process a peer tells once, when it is first
    // heard.
    const bool history = fresh && this->started_lately(now);
    for (const workspace_usage& one : uses) {
        peer_use& use = known.uses[one.workspace];
        if (history) {
            use.sent = static_cast<double>(one.sent_total);
            this->learn_history(one, now);
        }
        this->count_peer(peer, use, one, fresh || restarted || returned, now);
    }
}

// Of a peer that is heard for the first time, or again after a silence, what it
// let through within the window counts; all of it as of now, since its times
// are not told.
void usage_limiter::count_peer(base::slot_id peer,
                               peer_use& known,
                               const workspace_usage& told,
                               bool anew,
                               base::instant now)
{
    const auto used = static_cast<double>(told.sent_total);
    // Most messages tell of most workspaces what is known.
    if (!anew && used == known.sent && told.waiting == known.waiting)
        return;
    const double more = std::max(0.0, used - known.sent);
    const double counted =
        anew ? std::min<double>(more, told.sent_in_window) : more;
    const double waiting_more = told.waiting - known.waiting;
    known = {used, static_cast<double>(told.waiting)};
    const auto found = this->limits.find(told.workspace);
    if (found == this->limits.end())
        return;
    workspace_limit& own = found->second;
    const limit_rules valid = this->rules(now);
    own.fill(valid, now);
    own.drop_old(this->allowed.window, now);
    own.peers_waiting = std::max(0.0, own.peers_waiting + waiting_more);
    own.recent.add(counted, now);
    this->absent.used(peer, told.workspace, counted, now);
    // What it let through before it was heard is no debt of the bucket.
    if (!anew)
        own.restore(-(counted + waiting_more), valid, now);
}

// An entry restarts in a busy workspace's window: each peer tells what it let
// through itself, and all of them together what this entry's former process
// did. Each counts once.
void usage_limiter::learn_history(const workspace_usage& told,
                                  base::instant now)
{
    const auto found = this->limits.find(told.workspace);
    if (found == this->limits.end())
        return;
    workspace_limit& own = found->second;
    const double all = std::accumulate(
        told.all_sent_in_window.begin(), told.all_sent_in_window.end(), 0.0);
    const double unknown = all > 0 ? std::max(0.0, 1 - own.history / all) : 0;
    const auto parts = static_cast<int>(told.all_sent_in_window.size());
    // Each part as of its end: counted for its length too long, never too
    // short.
    for (int at = 0; at < parts; ++at)
        own.recent.add_earlier(
            unknown * told.all_sent_in_window[static_cast<std::size_t>(at)],
            now - at * this->allowed.window / parts);
    own.history = std::max(own.history, all);
    own.told_of_peers += told.sent_in_window;
    own.recent.add(std::max(0.0, own.told_of_peers - own.history), now);
    own.history = std::max(own.history, own.told_of_peers);
}

void usage_limiter::forget_waiting(peer_state& peer)
{
    for (auto& [workspace, use] : peer.uses) {
        const auto found = this->limits.find(workspace);
        if (found != this->limits.end())
            found->second.peers_waiting =
                std::max(0.0, found->second.peers_waiting - use.waiting);
        use.waiting = 0;
    }
}

// A dispatcher that stops is heard until its own requests have ended. What was
// counted of it is kept as long as the window holds it, and only what is new
// counts, or each of its messages would count its whole window once more.
void usage_limiter::forget_peer(base::slot_id peer)
{
    const auto found = this->peers.find(peer);
    if (found == this->peers.end() || found->second.forgotten)
        return;
    this->forget_waiting(found->second);
    found->second.forgotten = true;
    this->absent.forget(peer);
}

void usage_limiter::drop_forgotten(base::instant now)
{
    std::erase_if(this->peers, [&](const auto& entry) {
        const peer_state& one = entry.second;
        return one.forgotten && now - one.told_at > this->allowed.window;
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
