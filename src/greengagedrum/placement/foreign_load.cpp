#include <greengagedrum/placement/foreign_load.hpp>
#include <greengagedrum/placement/seconds.hpp>

#include <algorithm>

namespace greengagedrum::placement
{

namespace
{

// In this time a report loses a thousandth of its weight.
constexpr base::duration sums_kept = std::chrono::milliseconds(5);

constexpr base::duration report_horizon = std::chrono::seconds(5);
constexpr base::duration mirror_horizon = std::chrono::seconds(1);

// Of a peer's tokens in flight, the part taken for prompt.
constexpr double prompt_share = 0.5;

double drained(double tokens, base::duration since, double speed)
{
    return std::max(0.0, tokens - seconds_of(since) * speed);
}

} // namespace

void foreign_load::told(base::slot_id peer,
                        std::uint32_t requests,
                        std::uint32_t tokens,
                        base::instant now)
{
    this->peer_backlog =
        drained(this->peer_backlog, now - this->peers_at, this->speed);
    auto found =
        std::find_if(this->peers.begin(),
                     this->peers.end(),
                     [&](const peer_part& part) { return part.peer == peer; });
    if (found == this->peers.end())
        found = this->peers.insert(found, peer_part{peer, 0, 0});
    if (tokens > found->tokens)
        this->peer_backlog += prompt_share * (tokens - found->tokens);
    *found = peer_part{peer, requests, tokens};
    if (requests == 0)
        this->peers.erase(found);
    this->sum_up(now);
}

void foreign_load::forget(base::slot_id peer)
{
    const auto gone = std::erase_if(
        this->peers, [&](const peer_part& part) { return part.peer == peer; });
    if (gone > 0)
        this->sum_up(this->peers_at);
}

void foreign_load::sum_up(base::instant now)
{
    double most = 0; // the backlog can't exceed all that is there
    this->peer_requests = 0;
    for (const peer_part& part : this->peers) {
        this->peer_requests += part.requests;
        most += part.tokens;
    }
    this->peer_backlog = std::min(this->peer_backlog, most);
    this->peers_at = now;
    this->last.until = base::instant();
    this->mirror_requests = 0;
    this->mirror_tokens = 0;
}

void foreign_load::reported(double requests,
                            double prefill_tokens,
                            base::instant taken)
{
    if (taken < this->report_at)
        return;
    this->report_requests = std::max(0.0, requests);
    this->report_backlog = std::max(0.0, prefill_tokens);
    this->report_at = taken;
    this->last.until = base::instant();
    if (taken < this->mirror_at)
        return;
    this->mirror_requests = 0;
    this->mirror_tokens = 0;
}

void foreign_load::mirror(double requests, double tokens, base::instant now)
{
    const double kept = freshness(this->mirror_at, now, mirror_horizon);
    this->mirror_requests = this->mirror_requests * kept + requests;
    this->mirror_tokens = this->mirror_tokens * kept + tokens;
    this->mirror_at = now;
    this->last.until = base::instant();
}

void foreign_load::refresh(base::instant now) const
{
    const double seen =
        this->report_requests * freshness(this->report_at, now, report_horizon);
    const double alike = freshness(this->mirror_at, now, mirror_horizon);
    const double told =
        drained(this->peer_backlog, now - this->peers_at, this->speed);
    const double counted =
        drained(this->report_backlog, now - this->report_at, this->speed);
    const double copied =
        drained(this->mirror_tokens, now - this->mirror_at, this->speed);
    this->last.requests =
        std::max(this->peer_requests, seen) + this->mirror_requests * alike;
    this->last.backlog = std::max(told, counted) + copied * alike;
    this->last.until = now + sums_kept;
}

} // namespace greengagedrum::placement
