// The part of request_handler that keeps the process within its memory: who
// waits, who is rejected, and whose response is ended.
#include <greengagedrum/base/retry_after.hpp>
#include <greengagedrum/entry/request_handler.hpp>
#include <greengagedrum/entry/to_milliseconds.hpp>
#include <greengagedrum/memory/rejection_order.hpp>

#include <algorithm>
#include <limits>
#include <tuple>

namespace greengagedrum::entry
{

namespace
{

// All connections are looked at, so not in each tick of 5 ms.
constexpr base::duration check_period = std::chrono::milliseconds(20);

// A body that waits for room longer than this is rejected, so that its caller
// can try another entry within its deadline.
constexpr base::duration wait_most = std::chrono::seconds(2);

// While a body has waited for longer than this, a response whose caller has
// taken nothing for `stall_most` is ended. Callers that don't read would else
// keep all others out for as long as they like.
constexpr base::duration wait_before_ending = std::chrono::seconds(1);
constexpr base::duration stall_most = std::chrono::seconds(2);

} // namespace

void request_handler::limit_memory()
{
    if (!this->state.memory)
        return;
    this->events.memory = this->state.memory;
    this->events.classify = [this](const relay::request_head& head) {
        return this->classify(head);
    };
    this->events.rejected = [this](const relay::caller_ptr& from,
                                   const relay::own_answer& answer,
                                   std::uint64_t bytes) {
        platform::request_marks marks;
        platform::read_request_marks(from->head(), marks);
        this->log_rejected(marks.attempt,
                           from->classified().priority,
                           bytes,
                           answer.reason,
                           answer.retry_after.value_or(base::duration(0)));
    };
}

// Requests that are going to be refused are the least urgent.
relay::body_class
request_handler::classify(const relay::request_head& head) const
{
    relay::body_class out;
    out.time_left = default_time_left;
    out.priority = std::numeric_limits<std::uint32_t>::max();
    const routing::route_table_ptr& table = this->state.cluster.routes();
    platform::request_marks marks;
    if (!table || platform::read_request_marks(head, marks))
        return out;
    out.time_left = marks.time_left.value_or(default_time_left);
    const auto host = relay::find_header(head.headers, "Host").value_or("");
    const std::string_view path =
        std::string_view(head.target).substr(0, head.target.find('?'));
    const routing::route* route = table->find_route(host, path);
    const routing::workspace* owner =
        marks.key.empty() ? nullptr : table->find_workspace(marks.key);
    if (owner != nullptr)
        out.workspace = owner->id;
    if (route != nullptr)
        out.priority = table->effective_priority(*route, owner);
    return out;
}

void request_handler::keep_to_memory()
{
    const base::instant now = this->state.clock();
    if (!this->state.memory || now - this->memory_checked_at < check_period)
        return;
    this->memory_checked_at = now;
    const std::vector<relay::caller_ptr> connections(this->callers.begin(),
                                                     this->callers.end());
    for (const relay::caller_ptr& one : connections)
        one->check_stopped();
    this->reject_for_memory();
    this->end_unread_responses();
    this->retry_bodies();
}

void request_handler::reject_for_memory()
{
    const memory::account& account = *this->state.memory;
    if (!account.must_reject())
        return;
    std::vector<memory::rejectable> sizes;
    std::vector<std::function<void()>> reject;
    for (const auto& [id, request] : this->requests) {
        // Once it was sent, "not run" might not be true.
        if (request.sent_at)
            continue;
        const std::uint64_t bytes = request.http_exchange->body_bytes();
        sizes.push_back({request.priority, bytes});
        reject.emplace_back(
            [this, id = id, priority = request.priority, bytes] {
                const auto found = this->requests.find(id);
                if (found == this->requests.end() || found->second.sent_at)
                    return;
                const active_request& queued = found->second;
                const platform::request_marks& marks =
                    queued.http_exchange->info().marks;
                const base::duration left =
                    marks.time_left.value_or(default_time_left) -
                    (this->state.clock() - queued.arrived);
                const base::duration retry_after =
                    base::retry_after(memory::room_renewed_after, left);
                this->log_rejected(
                    marks.attempt, priority, bytes, "queued", retry_after);
                this->refuse_queued_request(
                    id, base::reason::overloaded, retry_after);
            });
    }
    for (const relay::caller_ptr& one : this->callers) {
        sizes.push_back(
            {one->classified().priority, one->unfinished_body_bytes()});
        reject.emplace_back([one] { one->reject_for_room(); });
    }
    const auto order =
        memory::rejection_order(sizes, account.levels().small_body);
    for (const std::size_t at : order) {
        if (!account.must_reject())
            break;
        reject[at]();
    }
    if (this->state.delegating && !order.empty())
        this->on_load_changed();
}

void request_handler::end_unread_responses()
{
    const memory::account& account = *this->state.memory;
    const base::instant now = this->state.clock();
    // Of bodies that wait for long: a workspace whose own share keeps one
    // waiting, and whether the total keeps any.
    std::optional<base::workspace_id> waiting;
    bool total_is_short = false;
    for (const relay::caller_ptr& one : this->callers) {
        const auto since = one->waiting_since();
        if (!since || now - *since <= wait_before_ending)
            continue;
        waiting = one->classified().workspace;
        total_is_short =
            total_is_short || account.held() + one->further_room_needed() >
                                  account.levels().stop_reading;
    }
    if (!account.must_end_response() && !waiting)
        return;
    const bool own_share =
        waiting && !total_is_short && !account.must_end_response();
    std::vector<relay::caller_ptr> connections;
    std::vector<memory::unread_response> unread;
    for (const relay::caller_ptr& one : this->callers) {
        if (own_share && one->classified().workspace != *waiting)
            continue;
        const auto found = this->by_caller.find(one.get());
        unread.push_back(
            found == this->by_caller.end()
                ? one->unread(now)
                : this->requests.at(found->second).http_exchange->unread(now));
        if (unread.back().bytes <= account.levels().small_body)
            unread.pop_back();
        else
            connections.push_back(one);
    }
    // The account counts the bytes of an ended response until its connection
    // and its call have gone.
    const bool over_last_level = account.must_end_response();
    std::uint64_t ended = 0;
    do {
        const auto which = memory::first_to_end(
            unread, over_last_level ? base::duration(0) : stall_most);
        if (!which)
            return;
        ended += unread[*which].bytes;
        this->end_response(connections[*which], unread[*which]);
        unread[*which] = {};
    } while (account.held() > account.levels().end_response + ended);
}

void request_handler::end_response(const relay::caller_ptr& to,
                                   const memory::unread_response& unread)
{
    const auto found = this->by_caller.find(to.get());
    platform::request_marks marks;
    platform::read_request_marks(to->head(), marks);
    this->state.log.write(this->state.clock(),
                          "memory",
                          "response_ended_for_memory",
                          {{"request", marks.attempt},
                           {"unread_bytes", unread.bytes},
                           {"stalled_ms", to_milliseconds(unread.stalled)},
                           {"complete", found == this->by_caller.end()},
                           {"held_bytes", this->state.memory->held()}});
    this->state.metrics.add(
        telemetry::process_count{telemetry::counter::memory_responses_ended});
    if (found != this->by_caller.end()) {
        const std::shared_ptr<exchange> http_exchange =
            this->requests.at(found->second).http_exchange;
        if (http_exchange->holds_unfinished_response())
            return http_exchange->end_for_memory();
        this->on_caller_left(to);
    }
    to->abort();
}

// The most urgent body is read first, then the one that has waited longest.
void request_handler::retry_bodies()
{
    const base::instant now = this->state.clock();
    std::vector<relay::caller_ptr> waiting;
    for (const relay::caller_ptr& one : this->callers) {
        if (one->waiting_since())
            waiting.push_back(one);
    }
    if (waiting.empty())
        return;
    std::sort(
        waiting.begin(),
        waiting.end(),
        [](const relay::caller_ptr& left, const relay::caller_ptr& right) {
            return std::tuple(left->classified().priority,
                              *left->waiting_since()) <
                   std::tuple(right->classified().priority,
                              *right->waiting_since());
        });
    for (const relay::caller_ptr& one : waiting) {
        one->retry_body();
        const auto since = one->waiting_since();
        if (since && now - *since > wait_most)
            one->reject_for_room();
    }
    const std::vector<relay::caller_ptr> connections(this->callers.begin(),
                                                     this->callers.end());
    for (const relay::caller_ptr& one : connections) {
        if (one->body_stalled(now) > memory::room_renewed_after)
            one->reject({408, "the body came too slowly", std::nullopt});
    }
}

void request_handler::log_rejected(const std::string& request,
                                   std::uint32_t priority,
                                   std::uint64_t bytes,
                                   std::string_view why,
                                   base::duration retry_after)
{
    this->state.log.write(this->state.clock(),
                          "memory",
                          "request_rejected_for_memory",
                          {{"request", request},
                           {"priority", priority},
                           {"bytes", bytes},
                           {"why", why},
                           {"held_bytes", this->state.memory->held()},
                           {"retry_after_ms", to_milliseconds(retry_after)}});
    this->state.metrics.add(
        telemetry::process_count{telemetry::counter::memory_rejections});
}

} // namespace greengagedrum::entry
