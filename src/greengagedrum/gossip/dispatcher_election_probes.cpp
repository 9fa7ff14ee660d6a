// Probes of the election: which entries may be dispatchers and are asked.
#include <greengagedrum/gossip/dispatcher_election.hpp>

#include <algorithm>
#include <set>

namespace greengagedrum::gossip
{

namespace
{

// An entry that said that it delegates to a dispatcher is not probed again for
// so long.
constexpr base::duration delegation_valid_for = std::chrono::seconds(2);

// Entries probed at the same time.
constexpr std::size_t probes_at_once = 3;
constexpr std::size_t remote_probes_at_once = 2;

// While a search finds no dispatcher, the number of probes doubles after each
// interval, a few times; after the wide search it is back at its start.
constexpr base::duration search_doubling_interval =
    std::chrono::milliseconds(100);
constexpr int max_search_doublings = 4;
constexpr base::duration wide_search_time = std::chrono::seconds(1);

} // namespace

// Adds up to `max_count` entries of a data centre that rank above the entry
// `above`, in rank order. Leaves out those that did not answer lately or said
// that they do not dispatch.
//
// Failure guarded against: the highest-ranked entries of another data centre
// were restarted and left the dispatcher that had succeeded them in place. An
// entry that probed only those, again and again, never learned of that
// dispatcher.
void dispatcher_election::add_probe_targets(base::data_centre_id in_data_centre,
                                            std::size_t max_count,
                                            std::optional<ipv4_address> above,
                                            base::instant now,
                                            std::vector<ipv4_address>& out)
{
    std::size_t count = 0;
    for (const ipv4_address address :
         this->ranked_candidates(in_data_centre, now)) {
        if (address == above || count == max_count)
            return;
        const candidate& other = this->other_entries.at(address);
        const bool may_not_place = above || in_data_centre != this->data_centre;
        const bool delegated_lately =
            may_not_place && other.delegating && other.received_at &&
            now - *other.received_at <= delegation_valid_for;
        if (delegated_lately || now < other.skipped_until ||
            is_dispatching(other, now))
            continue;
        out.push_back(address);
        count += 1;
    }
}

// Failure guarded against: a network partition splits a data centre, and the
// entries that rank first are all on the other side. Probed three at a time,
// skipping them takes seconds, in which each entry dispatches its own requests.
std::size_t dispatcher_election::probe_limit(base::instant now) const
{
    if (!this->searching_since ||
        now - *this->searching_since > wide_search_time)
        return probes_at_once;
    const auto doublings =
        (now - *this->searching_since) / search_doubling_interval;
    return probes_at_once << std::min<std::int64_t>(doublings,
                                                    max_search_doublings);
}

std::vector<ipv4_address> dispatcher_election::probe_targets(base::instant now)
{
    std::vector<ipv4_address> out;
    const auto elected = this->dispatcher(now);
    if (elected)
        this->searching_since.reset();
    else if (!this->searching_since)
        this->searching_since = now;
    this->add_probe_targets(
        this->data_centre, this->probe_limit(now), elected, now, out);
    if (!elected)
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
    for (const auto& [address, other] : this->other_entries) {
        if (other.data_centre == this->data_centre || other.data_centre.empty())
            continue;
        data_centres.insert(other.data_centre);
        if (is_dispatching(other, now))
            out.push_back(address);
    }
    for (const base::data_centre_id data_centre : data_centres) {
        std::optional<ipv4_address> first_placing;
        for (const ipv4_address address :
             this->ranked_candidates(data_centre, now)) {
            if (!first_placing &&
                is_dispatching(this->other_entries.at(address), now))
                first_placing = address;
        }
        this->add_probe_targets(
            data_centre, remote_probes_at_once, first_placing, now, out);
    }
    return out;
}

std::vector<ipv4_address>
dispatcher_election::silent_in_data_centre(base::instant now) const
{
    std::vector<ipv4_address> out;
    for (const auto& [address, other] : this->other_entries) {
        if (other.data_centre == this->data_centre && !is_live(other, now))
            out.push_back(address);
    }
    return out;
}

} // namespace greengagedrum::gossip
