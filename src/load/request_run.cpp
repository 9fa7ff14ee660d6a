#include <load/request_run.hpp>
#include <load/retry_rule.hpp>

#include <algorithm>
#include <thread>

namespace load
{

namespace
{

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using clock = std::chrono::steady_clock;

std::uint64_t unix_ms()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(duration_cast<milliseconds>(now).count());
}

std::size_t first_entry(const run_context& context, const arrival& coming)
{
    const bool random = context.planned->choice == entry_choice::random;
    return (random ? coming.draw : coming.number) % context.entries;
}

// The tries of one request, with what is known after each.
class tries
{
public:
    tries(const run_context& shared, const arrival& coming, caller& connections)
        : context(shared), sender(connections),
          asked(make_question(*shared.planned, coming, shared.run, unix_ms())),
          entry(first_entry(shared, coming)), began(shared.start + coming.at)
    {
        this->result.tag = this->asked.tag;
        this->result.sort = this->asked.sort;
        this->result.surely_not_run = true;
        if (this->asked.sort->names_by == identity::key)
            this->names.key = this->asked.key;
    }

    outcome run()
    {
        ending before = ending::not_run;
        while (true) {
            const answer last = this->one_try();
            this->take(last, whole_ending(before, last.how));
            before = this->result.how;
            if (!this->wait_for_next(last))
                break;
        }
        return std::move(this->result);
    }

private:
    milliseconds left() const
    {
        const auto end = this->began + this->asked.sort->deadline;
        return duration_cast<milliseconds>(end - clock::now());
    }

    answer one_try()
    {
        const milliseconds remaining = std::max(this->left(), milliseconds(1));
        const bool wants_ticket =
            this->asked.sort->names_by == identity::ticket &&
            this->names.ticket.empty();
        if (wants_ticket) {
            answer taken =
                this->sender.take_ticket(this->entry, this->asked, remaining);
            if (taken.how != ending::answered)
                return taken;
            this->names.ticket = taken.ticket;
        }
        this->sent = clock::now();
        answer received =
            this->sender.ask(this->entry, this->asked, this->names, remaining);
        check_answer(this->asked, *this->context.expected, received);
        return received;
    }

    void take(const answer& last, ending how)
    {
        ++this->result.tries;
        this->result.how = how;
        this->result.reason = last.reason;
        this->result.total =
            duration_cast<microseconds>(clock::now() - this->began);
        if (last.first_token)
            this->result.first_token =
                duration_cast<microseconds>(this->sent - this->began) +
                *last.first_token;
        this->result.between = last.between;
        for (const fault found : last.faults)
            if (std::ranges::count(this->result.faults, found) == 0)
                this->result.faults.push_back(found);
        const bool sure = last.how == ending::not_run ||
                          last.how == ending::refused ||
                          last.how == ending::unreachable;
        this->result.surely_not_run = this->result.surely_not_run && sure;
        if (this->names.key.empty() && this->names.ticket.empty())
            this->names.ticket = last.ticket;
    }

    // False when the caller doesn't come back.
    bool wait_for_next(const answer& last)
    {
        ended_try ended;
        ended.how = last.how;
        ended.tries = this->result.tries;
        ended.left = this->left();
        ended.retry_after = last.retry_after;
        ended.named = !this->names.key.empty() || !this->names.ticket.empty();
        const auto wait = next_try(this->context.planned->retries,
                                   this->asked.sort->repetition,
                                   ended);
        if (!wait)
            return false;
        this->entry = (this->entry + 1) % this->context.entries;
        return sleep_until(clock::now() + *wait, this->context.stop);
    }

    const run_context& context;
    caller& sender;
    question asked;
    std::size_t entry;
    clock::time_point began; // scheduled, not sent
    clock::time_point sent;  // the last try
    request_names names;
    outcome result;
};

} // namespace

bool sleep_until(clock::time_point when, const std::stop_token& stop)
{
    constexpr milliseconds slice{50}; // a stop waits no longer
    while (!stop.stop_requested()) {
        const clock::time_point now = clock::now();
        if (now >= when)
            return true;
        std::this_thread::sleep_until(std::min(when, now + slice));
    }
    return false;
}

outcome
run_request(const run_context& context, const arrival& coming, caller& sender)
{
    return tries(context, coming, sender).run();
}

} // namespace load
