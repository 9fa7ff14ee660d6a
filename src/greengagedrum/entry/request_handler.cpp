#include <greengagedrum/entry/request_handler.hpp>
#include <greengagedrum/entry/to_milliseconds.hpp>
#include <greengagedrum/placement/seconds.hpp>
#include <greengagedrum/relay/connect_check.hpp>
#include <greengagedrum/relay/small_server.hpp>

#include <boost/algorithm/string/join.hpp>

#include <algorithm>

namespace greengagedrum::entry
{

namespace
{

// The configuration arrives within a few store calls after the start.
constexpr base::duration retry_after_unconfigured =
    std::chrono::milliseconds(500);

// Without a hint, the expected output is the maximum divided by this.
constexpr std::uint32_t output_divisor = 2;

std::string_view path_of(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

base::tier tier_of(std::uint32_t priority)
{
    return base::all_tiers.at(
        std::min<std::size_t>(priority, base::all_tiers.size() - 1));
}

// From 0 to 1, evenly over all names.
double fraction_of(std::string_view name)
{
    constexpr double range = 18446744073709551616.0; // 2^64
    return static_cast<double>(base::hash_name(name)) / range;
}

} // namespace

request_handler::request_handler(relay::asio::io_context& context,
                                 shared_state& state,
                                 peer_paths& paths,
                                 stream_versions& versions)
    : context(context), acceptor(context, this->make_acceptor_events()),
      state(state), paths(paths), versions(versions),
      kept(context, state.kept_connections_max)
{
    this->kept.on_change = [this] { this->update_kept_upstreams(); };
    this->events.request = [this](const relay::caller_ptr& from,
                                  base::duration waited) {
        this->serve(from, waited);
    };
    this->events.left = [this](const relay::caller_ptr& from) {
        this->on_caller_left(from);
    };
    this->events.refused = [this](const relay::read_fault& fault) {
        this->state.log.write(this->state.clock(),
                              "front",
                              "request_unreadable",
                              {{"status", fault.status}, {"why", fault.why}});
    };
    this->events.closed = [this](const relay::caller_ptr& from) {
        this->callers.erase(from);
        this->acceptor.resume();
    };
    this->events.clock = this->state.clock;
    this->limit_memory();
}

std::optional<relay::own_answer>
request_handler::admit(const relay::request_head& head,
                       base::duration waited,
                       request_properties& out)
{
    using relay::own_answer;
    if (!this->takes_requests())
        return refusal_while_stopping();
    if (auto fault = platform::read_request_marks(head, out.info.marks))
        return own_answer{400, std::move(*fault), {}};
    if (out.info.marks.attempt.empty())
        return own_answer{400, "no request id", {}};
    const routing::route_table_ptr& table = this->state.cluster.routes();
    if (!table)
        return own_answer{503, "not_configured", retry_after_unconfigured};
    const auto host = relay::find_header(head.headers, "Host").value_or("");
    const routing::route* route = table->find_route(host, path_of(head.target));
    if (route == nullptr)
        return own_answer{404, "no such route", {}};
    const routing::workspace* owner =
        out.info.marks.key.empty() ? nullptr
                                   : table->find_workspace(out.info.marks.key);
    const bool needs_key =
        !route->anonymous && !table->config().workspaces.empty();
    if (needs_key && owner == nullptr)
        return own_answer{401, "no such key", {}};
    this->fill_facts(*route, owner, waited, out);
    return std::nullopt;
}

void request_handler::fill_facts(const routing::route& route,
                                 const routing::workspace* owner,
                                 base::duration waited,
                                 request_properties& out)
{
    const platform::request_marks& marks = out.info.marks;
    // All tries of a stream go to the same service.
    const double draw =
        fraction_of(marks.resumed_attempt.value_or(marks.attempt));
    const routing::route_target& target =
        routing::route_table::pick_target(route, draw);
    traffic::request_facts& facts = out.facts;
    facts.service = target.service;
    facts.kind = route.id;
    facts.retry = route.retry;
    facts.stream = route.stream;
    facts.priority =
        this->state.cluster.routes()->effective_priority(route, owner);
    facts.attempts_max = route.attempts_max;
    facts.allowed_data_centres =
        routing::data_centre_constraint_of(route, owner, this->state.regions);
    facts.latency_objective = route.latency_objective;
    facts.event_gap_objective = route.event_gap_objective;
    facts.prompt_tokens = marks.prompt_tokens.value_or(0);
    facts.output_tokens =
        marks.expected_tokens.value_or(marks.output_tokens / output_divisor);
    base::duration left = marks.time_left.value_or(default_time_left) - waited;
    facts.caller_time_left = std::max(left, base::duration(0));
    if (route.timeout.count() > 0)
        left = std::min(left, route.timeout - waited);
    facts.time_left = std::max(left, base::duration(0));
    out.info.route = route.name;
    out.info.stream = route.stream;
    out.info.resumed = route.stream &&
                       route.retry == routing::retry_policy::resumable &&
                       !marks.resume_after.value_or("").empty();
    out.info.repeatable = route.retry != routing::retry_policy::at_most_once;
    out.info.may_send_again = out.info.repeatable && route.attempts_max > 1;
    out.info.allowed_data_centres = facts.allowed_data_centres;
    out.series = {"", tier_of(facts.priority), route.name};
    if (owner == nullptr)
        return;
    facts.workspace = owner->id;
    out.info.workspace = owner->name;
    out.series.workspace = owner->name;
    out.workspace = owner->id;
    const double tokens =
        marks.prompt_tokens
            ? static_cast<double>(*marks.prompt_tokens) + marks.output_tokens
            : owner->limit.default_request_tokens;
    out.cost = owner->limit.in_tokens ? tokens : 1;
}

// Whatever a request does to this entry, it costs no other request.
void request_handler::serve(const relay::caller_ptr& from,
                            base::duration waited)
{
    try {
        this->on_request(from, waited);
    } catch (const std::exception& fault) {
        this->state.log.write(this->state.clock(),
                              "front",
                              "request_failed_here",
                              {{"why", std::string_view(fault.what())}});
        if (this->by_caller.contains(from.get())) {
            // It may have been sent.
            this->on_caller_left(from);
            from->abort();
        } else {
            from->answer(relay::own_answer{500, "internal", {}});
        }
    }
}

void request_handler::on_request(const relay::caller_ptr& from,
                                 base::duration waited)
{
    const base::instant now = this->state.clock();
    if (this->state.stopping)
        from->set_closing();
    request_properties request;
    const auto refusal = this->admit(from->head(), waited, request);
    const std::string attempt = request.info.marks.attempt;
    if (refusal)
        return this->refuse(from, attempt, *refusal);
    const relay::request_head& head = from->head();
    request.facts.digest = base::digest_of_request(
        request.info.workspace, head.method, head.target, from->body());
    for (const std::string& part : request.info.marks.shared_prompt_parts)
        request.facts.prompt_parts.push_back(
            base::digest_of_prompt_part(request.facts.service, part));
    const bool counted_here = !this->state.delegating;
    const auto retry_after =
        counted_here
            ? this->state.limiter.try_acquire(
                  request.workspace, request.cost, request.facts.priority, now)
            : std::nullopt;
    this->state.log.write(
        now,
        "front",
        "request_arrived",
        {{"request", attempt},
         {"digest", base::to_hex(request.facts.digest)},
         {"prompt_parts",
          boost::algorithm::join(request.info.marks.shared_prompt_parts, ",")},
         {"route", request.info.route},
         {"workspace", request.info.workspace},
         {"priority", request.facts.priority},
         {"prompt_tokens", request.facts.prompt_tokens},
         {"time_left_ms", to_milliseconds(request.facts.time_left)},
         {"config_version", this->state.cluster.configuration_version()},
         {"cost", request.cost},
         {"limit_level",
          this->state.limiter.status_of(request.workspace, now).bucket_level}});
    if (retry_after) {
        this->log_over_limit(request.workspace,
                             request.cost,
                             request.facts.priority,
                             *retry_after);
        return this->refuse(
            from,
            attempt,
            relay::own_answer{429, "limit_reached", retry_after});
    }
    const base::request_id id{this->next_request++};
    request.info.id = id;
    active_request& active = this->requests[id];
    active.arrived = now - waited;
    active.workspace = request.workspace;
    active.service = request.facts.service;
    active.cost = request.cost;
    active.priority = request.facts.priority;
    active.counted_here = counted_here;
    active.series = request.series;
    active.digest = request.facts.digest;
    active.objective = request.facts.latency_objective;
    active.gap_objective = request.facts.event_gap_objective;
    active.http_exchange = this->make_exchange(from, std::move(request.info));
    this->by_caller[from.get()] = id;
    this->submit_arrival(id, request.facts);
    if (this->state.delegating)
        this->on_load_changed();
}

void request_handler::refuse(const relay::caller_ptr& from,
                             const std::string& attempt,
                             const relay::own_answer& answer)
{
    this->state.log.write(
        this->state.clock(),
        "front",
        "request_refused",
        {{"request", attempt},
         {"status", answer.status},
         {"why", answer.reason},
         {"config_version", this->state.cluster.configuration_version()},
         {"retry_after_ms",
          to_milliseconds(answer.retry_after.value_or(base::duration(0)))}});
    from->answer(answer);
}

void request_handler::on_caller_left(const relay::caller_ptr& from)
{
    const auto found = this->by_caller.find(from.get());
    if (found == this->by_caller.end())
        return;
    const base::request_id id = found->second;
    this->by_caller.erase(found);
    const auto request = this->requests.find(id);
    if (request == this->requests.end())
        return;
    const std::shared_ptr<exchange> http_exchange =
        request->second.http_exchange;
    this->state.log.write(
        this->state.clock(),
        "front",
        "caller_left",
        {{"request", http_exchange->info().marks.attempt},
         {"after_ms",
          to_milliseconds(this->state.clock() - request->second.arrived)}});
    http_exchange->abandon();
    this->keep_abandoned(http_exchange);
    if (!request->second.sent_at)
        this->refund_cost(request->second);
    this->requests.erase(request);
    this->sent_to.erase(id);
    this->submit_event(traffic::caller_left{id});
    if (this->state.delegating)
        this->on_load_changed();
}

void request_handler::dispatch_queued_requests()
{
    if (this->processing_events)
        return;
    const auto done = this->begin_processing();
    traffic::actions actions;
    this->state.scheduler.dispatch_queued(this->state.clock(), actions);
    this->execute(actions);
    this->process_pending_events();
}

// Notices the end of a cut: connects to the upstreams of a service in turn.
void request_handler::check_paths()
{
    for (const base::upstream_class_id service :
         this->paths.services_to_check()) {
        std::vector<base::ip_endpoint> addresses;
        this->state.cluster.upstreams().for_each_usable(
            [&](const routing::published_upstream& one) {
                if (one.service == service)
                    addresses.push_back(one.address);
            });
        if (addresses.empty())
            continue;
        const base::instant begun = this->state.clock();
        const auto check = std::make_shared<relay::connect_check>(
            this->context, [this, service, begun](bool accepts) {
                if (accepts)
                    this->paths.on_connected(service, begun);
            });
        check->start(addresses[this->next_path_check++ % addresses.size()],
                     base::duration(0));
    }
}

void request_handler::tick()
{
    this->check_paths();
    {
        const auto done = this->begin_processing();
        traffic::actions actions;
        this->state.scheduler.tick(this->state.clock(), actions);
        this->execute(actions);
        this->process_pending_events();
    }
    const base::instant now = this->state.clock();
    const std::vector<relay::caller_ptr> connections(this->callers.begin(),
                                                     this->callers.end());
    const relay::caller_bounds limits = this->bounds();
    for (const relay::caller_ptr& one : connections)
        one->check_time(now, limits);
    this->keep_to_memory();
    this->renew_version_records();
    // An event processed at once could end requests.
    const auto done = this->begin_processing();
    for (auto& [id, request] : this->requests) {
        request.http_exchange->resume_reading();
        request.http_exchange->check_carrier();
    }
    this->process_pending_events();
}

} // namespace greengagedrum::entry
