#include <greengagedrum/quota/absent_peers.hpp>

#include <algorithm>

namespace greengagedrum::quota
{

namespace
{

// An entry tells five times a second at least: two of its messages in a row
// were lost, or it is gone.
constexpr base::duration silent_after = std::chrono::milliseconds(450);

// An entry that was lost for good is not heard of again either. Its part of the
// limits is kept from the others for so long: more than twice the longest cut
// that the limits were tried with (12 s).
constexpr base::duration assumed_for = std::chrono::seconds(30);

// Of the entries that report: fewer are lost one by one.
constexpr double new_cut = 0.1;

} // namespace

void absent_peers::own_used(base::workspace_id workspace,
                            double amount,
                            base::instant now)
{
    this->own[workspace].add(amount, now);
}

void absent_peers::used(base::slot_id peer,
                        base::workspace_id workspace,
                        double amount,
                        base::instant now)
{
    this->peers[peer].rates[workspace].add(amount, now);
}

bool absent_peers::heard(base::slot_id peer, bool stopping, base::instant now)
{
    state& one = this->peers[peer];
    const bool was_silent = one.silent;
    one.heard_at = now;
    one.stopping = stopping;
    one.silent = false;
    one.shares.clear();
    return was_silent;
}

void absent_peers::restarted(base::slot_id peer)
{
    this->peers.erase(peer);
}

double absent_peers::all_rates(base::workspace_id workspace,
                               base::instant now) const
{
    double sum = 0;
    if (const auto found = this->own.find(workspace); found != this->own.end())
        sum += found->second.per_second(now);
    for (const auto& [id, one] : this->peers) {
        const auto found = one.rates.find(workspace);
        // What a silent one did fades no further: it may still be doing it.
        if (found != one.rates.end())
            sum += found->second.per_second(one.silent ? one.heard_at : now);
    }
    return sum;
}

void absent_peers::fall_silent(state& peer,
                               const std::vector<limited>& limits,
                               base::instant now)
{
    peer.silent = true;
    const auto entries =
        static_cast<double>(this->peers.size() + this->unheard + 1);
    for (const limited& one : limits) {
        if (one.per_second <= 0)
            continue;
        const double all = this->all_rates(one.workspace, now);
        const auto found = peer.rates.find(one.workspace);
        const double rate = found == peer.rates.end()
                                ? 0
                                : found->second.per_second(peer.heard_at);
        // Beyond the limit all give way alike.
        const double kept = rate / std::max(all, one.per_second);
        const double unused = std::max(0.0, 1 - all / one.per_second);
        peer.shares[one.workspace] = kept + unused / entries;
    }
}

std::vector<base::slot_id>
absent_peers::notice(const std::vector<limited>& limits, base::instant now)
{
    std::vector<base::slot_id> out;
    for (auto& [id, one] : this->peers) {
        if (one.silent || now - one.heard_at <= silent_after)
            continue;
        this->fall_silent(one, limits, now);
        out.push_back(id);
    }
    // One that said that it stops has ended; one that was silent for long is
    // taken to be gone.
    std::erase_if(this->peers, [&](const auto& entry) {
        const state& one = entry.second;
        return one.silent && (one.stopping || now - one.heard_at > assumed_for);
    });
    return out;
}

// Failure guarded against: an entry starts anew behind a cut and has heard
// nobody. Of those that its settings name each is assumed to need an equal
// part, for as long as one that fell silent.
double absent_peers::unheard_share(base::instant now) const
{
    if (this->unheard == 0 || now - this->started > assumed_for)
        return 0;
    return static_cast<double>(this->unheard) /
           static_cast<double>(this->peers.size() + this->unheard + 1);
}

// More of them than so is another cut.
void absent_peers::set_unreported(double part, base::instant now)
{
    if (part > this->unreported + new_cut)
        this->unreported_since = now;
    this->unreported = part;
}

// Failure guarded against: two parts of a data centre can't hear each other,
// each has a dispatcher, and each of them gives out what the data centre may
// use. `own_part`: of the limit, what heard entries and this one have.
double absent_peers::unreported_share(double own_part) const
{
    const auto heard =
        std::count_if(this->peers.begin(),
                      this->peers.end(),
                      [](const auto& entry) { return !entry.second.silent; });
    return this->unreported * own_part / static_cast<double>(heard + 1);
}

assumed_use absent_peers::of(base::workspace_id workspace,
                             base::instant now) const
{
    assumed_use out;
    out.share = this->unheard_share(now);
    out.since = out.share > 0 ? this->started : now;
    for (const auto& [id, one] : this->peers) {
        const auto found = one.shares.find(workspace);
        if (found == one.shares.end())
            continue;
        out.share += found->second;
        out.since = std::min(out.since, one.heard_at);
    }
    out.share = std::min(out.share, 1.0);
    if (this->unreported > 0) {
        out.share += this->unreported_share(1 - out.share);
        out.since = std::min(out.since, this->unreported_since);
    }
    return out;
}

} // namespace greengagedrum::quota
