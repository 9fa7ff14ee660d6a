// Accounting of requests against the limits of their workspaces.
#include <greengagedrum/entry/request_handler.hpp>
#include <greengagedrum/entry/to_milliseconds.hpp>

namespace greengagedrum::entry
{

// When this entry dispatches again, it charges its waiting requests to their
// limits; until then the dispatcher had to.
void request_handler::charge_queued_requests()
{
    std::vector<std::pair<base::request_id, base::duration>> over_limit;
    for (auto& [id, request] : this->requests) {
        if (request.sent_at)
            continue;
        const auto retry_after =
            this->state.limiter.try_acquire(request.workspace,
                                            request.cost,
                                            request.priority,
                                            this->state.clock());
        request.counted_here = !retry_after;
        if (!retry_after)
            continue;
        this->log_over_limit(
            request.workspace, request.cost, request.priority, *retry_after);
        over_limit.emplace_back(id, *retry_after);
    }
    for (const auto& [id, retry_after] : over_limit)
        this->refuse_queued_request(
            id, base::reason::limit_reached, retry_after);
}

void request_handler::refuse_queued_request(base::request_id id,
                                            base::reason why,
                                            base::duration retry_after)
{
    this->submit_event(traffic::caller_left{id});
    this->execute_action(
        traffic::end_request{id, base::not_run(why, retry_after)});
}

void request_handler::refund_cost(const active_request& request)
{
    if (!request.counted_here)
        return;
    const base::instant now = this->state.clock();
    quota::usage_limiter& limiter = this->state.limiter;
    if (request.sent_at)
        limiter.refund_not_run(request.workspace, request.cost, now);
    else
        limiter.refund_unsent(request.workspace, request.cost, now);
}

// The entry that charges the limit logs the values behind the refusal. If it
// dispatched for a member, the member's log holds the request's own id and only
// the verdict.
void request_handler::log_over_limit(base::workspace_id workspace,
                                     double cost,
                                     std::uint32_t priority,
                                     base::duration retry_after)
{
    const base::instant now = this->state.clock();
    const quota::limit_status view =
        this->state.limiter.status_of(workspace, now);
    const double kept = this->state.limiter.reserved_for_higher_priority(
        workspace, cost, priority, now);
    const routing::workspace* known_workspace =
        this->state.cluster.routes()->find_workspace(workspace);
    this->state.log.write(
        now,
        "limits",
        "limit_reached",
        {{"workspace", known_workspace ? known_workspace->name : std::string()},
         {"cost", cost},
         {"priority", priority},
         {"kept_for_more_urgent", kept},
         {"limit_level", view.bucket_level},
         {"sent_here", view.own_sent},
         {"sent", view.all_sent},
         {"waiting", view.all_waiting},
         {"bound", view.window_bound},
         {"absent_share", view.silent_share},
         {"window_known", view.window_known},
         {"retry_after_ms", to_milliseconds(retry_after)}});
}

} // namespace greengagedrum::entry
