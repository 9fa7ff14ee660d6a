// Binding of a stream to the version of the upstream that began it, as part of
// the scheduler.
//
// What two versions write doesn't fit together, and upstreams don't check it.
#include <greengagedrum/traffic/scheduler.hpp>

#include <vector>

namespace greengagedrum::traffic
{

// A delegated request is bound by the entry that sends it.
void scheduler::bind_to_version(request& item)
{
    if (item.facts.delegated || !item.facts.version.empty() ||
        item.upstream_version.empty())
        return;
    item.facts.version = item.upstream_version;
    this->out->push_back(stream_bound{item.id, item.facts.version});
}

// While delegating, only the dispatching entry probes upstreams, so this entry
// doesn't learn that an unreachable one has recovered.
bool scheduler::lacks_version(const request& item,
                              base::upstream_id except) const
{
    return !item.facts.version.empty() &&
           !this->pool.has_usable(
               this->query_for(item), except, this->delegating);
}

void scheduler::end_without_version(request& item)
{
    item.ends_without_version = true;
    this->fail(item, base::reason::no_upstream);
}

// A caller that is told at once can still use the time that it has left.
void scheduler::end_queued_without_version()
{
    const std::vector<base::request_id> known(this->bound_and_queued.begin(),
                                              this->bound_and_queued.end());
    for (const base::request_id id : known) {
        request& item = this->requests.at(id);
        if (this->lacks_version(item))
            this->end_without_version(item);
    }
}

} // namespace greengagedrum::traffic
