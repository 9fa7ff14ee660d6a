// Preference for upstreams to which the sending entry keeps a connection, as
// part of the scheduler.
#include <greengagedrum/traffic/scheduler.hpp>

#include <utility>

namespace greengagedrum::traffic
{

void scheduler::set_kept_upstreams(base::slot_id sender,
                                   std::vector<base::upstream_id> upstreams)
{
    if (upstreams.empty())
        this->kept_upstreams.erase(sender);
    else
        this->kept_upstreams[sender] = std::move(upstreams);
}

// Only the first send of a request that may be sent again uses a kept
// connection. Of a delegated request only its sender knows how often it may be
// sent.
std::span<const base::upstream_id>
scheduler::kept_upstreams_for(const request& item) const
{
    const bool may_send_again =
        this->may_repeat(item) &&
        (item.facts.delegated || item.facts.attempts_max > 1);
    const auto found = this->kept_upstreams.find(sender_of(item));
    if (!may_send_again || item.connects > 0 || item.facts.prior_sends > 0 ||
        found == this->kept_upstreams.end())
        return {};
    return found->second;
}

// The next request of the sender prefers another upstream, until the sender
// reports again.
void scheduler::use_kept_upstream(const request& item)
{
    const auto found = this->kept_upstreams.find(sender_of(item));
    if (found != this->kept_upstreams.end())
        std::erase(found->second, item.upstream);
}

} // namespace greengagedrum::traffic
