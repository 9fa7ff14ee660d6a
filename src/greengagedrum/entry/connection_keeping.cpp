// The part of request_handler that decides about idle connections to upstreams
// and tells the scheduler which upstreams have one.
#include <greengagedrum/entry/request_handler.hpp>
#include <greengagedrum/relay/reuse_policy.hpp>

namespace greengagedrum::entry
{

// An upstream may have left or moved while it ran the request.
bool request_handler::may_keep_connection(
    const routing::published_upstream& to) const
{
    const routing::published_upstream* current =
        this->state.cluster.upstreams().find_usable(to.id);
    if (current == nullptr || current->address != to.address ||
        !this->state.cluster.routes())
        return false;
    for (const routing::service& one :
         this->state.cluster.routes()->config().services) {
        if (one.id == to.service)
            return relay::reuse_policy::limit_allows(one.connections_max,
                                                     this->entry_count);
    }
    return false;
}

void request_handler::close_outdated_connections(const cluster_changes& changes)
{
    for (const removed_upstream& one : changes.removed)
        this->kept.close(one.id);
    for (const routing::published_upstream& one : changes.added)
        this->kept.close_other_addresses({one.id, one.address});
}

void request_handler::update_kept_upstreams()
{
    this->state.scheduler.set_kept_upstreams(
        traffic::this_entry, this->kept.freshest(dispatch::kept_upstreams_max));
}

} // namespace greengagedrum::entry
