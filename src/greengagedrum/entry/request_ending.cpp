// The part of request_handler that ends requests and connections when the entry
// stops.
#include <greengagedrum/entry/request_handler.hpp>

#include <algorithm>
#include <vector>

namespace greengagedrum::entry
{

namespace
{

// Another entry takes the request; a new connection is all that it needs.
constexpr base::duration retry_after_stopping = std::chrono::milliseconds(50);

// The first request of a connection accepted last may still be on its way.
constexpr base::duration first_request_time = std::chrono::milliseconds(250);

bool is_running(const std::weak_ptr<exchange>& one)
{
    const auto found = one.lock();
    return found && found->has_call();
}

} // namespace

relay::own_answer request_handler::refusal_while_stopping()
{
    return {503,
            std::string(base::to_string(base::reason::stopping)),
            retry_after_stopping};
}

bool request_handler::takes_requests() const
{
    return !this->stop || this->stop->at(this->state.clock()) ==
                              shutdown::stop_phase::accepting;
}

void request_handler::begin_stop(const shutdown::stop_schedule& schedule)
{
    this->set_stop_schedule(schedule);
    this->kept.shut_down();
    for (const relay::caller_ptr& one : this->callers)
        one->set_closing();
}

void request_handler::set_stop_schedule(const shutdown::stop_schedule& schedule)
{
    this->stop = schedule;
    this->state.scheduler.set_stop_time(schedule.end());
}

// Connections that the kernel has accepted are refused rather than reset.
void request_handler::stop_accepting()
{
    this->acceptor.accept_rest_and_close();
}

void request_handler::close_idle_connections()
{
    const std::vector<relay::caller_ptr> connections(this->callers.begin(),
                                                     this->callers.end());
    for (const relay::caller_ptr& one : connections)
        one->close_idle(first_request_time);
}

void request_handler::keep_abandoned(const std::shared_ptr<exchange>& running)
{
    std::erase_if(this->abandoned,
                  [](const auto& one) { return !is_running(one); });
    if (running->has_call())
        this->abandoned.push_back(running);
}

std::size_t request_handler::abandoned_running() const
{
    return static_cast<std::size_t>(std::count_if(
        this->abandoned.begin(), this->abandoned.end(), is_running));
}

void request_handler::end_all()
{
    {
        const auto done = this->begin_processing();
        traffic::actions actions;
        this->state.scheduler.end_all(this->state.clock(), actions);
        this->execute(actions);
        this->process_pending_events();
    }
    // The scheduler doesn't know those whose version is still being looked up.
    std::vector<base::request_id> left;
    for (const auto& [id, request] : this->requests)
        left.push_back(id);
    for (const base::request_id id : left)
        this->execute_action(traffic::end_request{
            id, base::not_run(base::reason::stopping, retry_after_stopping)});
    this->refuse_unread_requests();
}

void request_handler::abort_unframed_responses()
{
    const std::vector<relay::caller_ptr> connections(this->callers.begin(),
                                                     this->callers.end());
    for (const relay::caller_ptr& one : connections)
        one->abort_unframed();
}

void request_handler::refuse_unread_requests()
{
    const std::vector<relay::caller_ptr> connections(this->callers.begin(),
                                                     this->callers.end());
    std::size_t count = 0;
    for (const relay::caller_ptr& one : connections) {
        count += one->refuse_unread(refusal_while_stopping()) ? 1 : 0;
        one->close_idle();
    }
    if (count > 0)
        this->state.log.write(
            this->state.clock(),
            "front",
            "unread_requests_refused",
            {{"requests", count}, {"why", to_string(base::reason::stopping)}});
}

} // namespace greengagedrum::entry
