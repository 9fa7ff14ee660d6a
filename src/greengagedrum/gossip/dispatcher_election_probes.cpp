// Whom an entry asks, or tells, that may place requests.
#include <greengagedrum/gossip/dispatcher_election.hpp>

#include <algorithm>
#include <set>

namespace greengagedrum::gossip
{

namespace
{

// Whoever said that another one places for it is not asked again for so long.
constexpr base::duration delegates_for = std::chrono::seconds(2);

// How many may be asked at once whether they are there.
constexpr std::size_t tried_at_once = 3;
constexpr std::size_t far_tried_at_once = 2;

// While none of them is found at first, twice as many after each such time.
constexpr base::duration search_step = std::chrono::milliseconds(100);
constexpr int search_steps = 4;
constexpr base::duration wide_search = std::chrono::seconds(1);

} // namespace

// Those of one data centre that go before `before`, in order, unless they were
// asked in vain.
//
// Failure guarded against: the strongest entries of another data centre were
// restarted and left the one that had followed them in place. Whoever asked
// only them who places there, again and again, never heard of that one.
void dispatcher_election::add_probe_targets(base::data_centre_id of,
                                            std::size_t most,
                                            std::optional<ipv4_address> before,
                                            base::instant now,
                                            std::vector<ipv4_address>& out)
{
    std::size_t count = 0;
    for (const ipv4_address address : this->ranked_candidates(of, now)) {
        if (address == before || count == most)
            return;
        const candidate& one = this->other_entries.at(address);
        const bool others_may_place = before || of != this->data_centre;
        const bool declined = others_may_place && one.delegating &&
                              one.heard_at &&
                              now - *one.heard_at <= delegates_for;
        if (declined || now < one.skipped_until || is_dispatching(one, now))
            continue;
        out.push_back(address);
        count += 1;
    }
}

// Failure guarded against: a data centre is cut in two, and those on one side
// that go first in line are all on the other. Asked three at a time, it takes
// seconds to pass them over, in which each entry places by itself.
std::size_t dispatcher_election::probe_limit(base::instant now) const
{
    if (!this->searching_since || now - *this->searching_since > wide_search)
        return tried_at_once;
    const auto steps = (now - *this->searching_since) / search_step;
    return tried_at_once << std::min<std::int64_t>(steps, search_steps);
}

std::vector<ipv4_address> dispatcher_election::probe_targets(base::instant now)
{
    std::vector<ipv4_address> out;
    const auto placing = this->dispatcher(now);
    if (placing)
        this->searching_since.reset();
    else if (!this->searching_since)
        this->searching_since = now;
    this->add_probe_targets(
        this->data_centre, this->probe_limit(now), placing, now, out);
    if (!placing)
        std::erase_if(out, [&](ipv4_address address) {
            return !this->outranks_self(address);
        });
    return out;
}

std::vector<ipv4_address>
dispatcher_election::remote_dispatcher_candidates(base::instant now)
{
    std::set<base::data_centre_id> data_centres;
    std::vector<ipv4_address> out;
    for (const auto& [address, one] : this->other_entries) {
        if (one.data_centre == this->data_centre || one.data_centre.empty())
            continue;
        data_centres.insert(one.data_centre);
        if (is_dispatching(one, now))
            out.push_back(address);
    }
    for (const base::data_centre_id place : data_centres) {
        std::optional<ipv4_address> strongest;
        for (const ipv4_address address : this->ranked_candidates(place, now)) {
            if (!strongest &&
                is_dispatching(this->other_entries.at(address), now))
                strongest = address;
        }
        this->add_probe_targets(place, far_tried_at_once, strongest, now, out);
    }
    return out;
}

std::vector<ipv4_address>
dispatcher_election::silent_in_data_centre(base::instant now) const
{
    std::vector<ipv4_address> out;
    for (const auto& [address, one] : this->other_entries) {
        if (one.data_centre == this->data_centre && !is_live(one, now))
            out.push_back(address);
    }
    return out;
}

} // namespace greengagedrum::gossip
