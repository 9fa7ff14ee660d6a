#include <load/http_endpoint.hpp>
#include <load/ledger_reader.hpp>
#include <load/request_run.hpp>
#include <load/runner.hpp>

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <cstdio>
#include <iterator>
#include <mutex>
#include <random>
#include <thread>

namespace load
{

namespace
{

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using clock = std::chrono::steady_clock;

constexpr milliseconds lead{50}; // for the threads to start

std::string draw_run_name()
{
    std::random_device device;
    std::uniform_int_distribution<std::uint32_t> all;
    return "r" + std::to_string(all(device)) + std::to_string(all(device));
}

std::string problem_of(const plan& planned, const targets& against)
{
    std::string all;
    for (const std::string& one : problems(planned))
        all += (all.empty() ? "" : "; ") + one;
    if (!all.empty())
        return all;
    if (against.entries.empty())
        return "no entries";
    for (const auto* list : {&against.entries, &against.ledgers})
        for (const std::string& address : *list)
            if (!is_address(address))
                return "not an address (IP:port): " + address;
    return {};
}

// The arrivals, the threads that take them in order, and what they found.
class run_state
{
public:
    run_state(const plan& planned, const targets& given, std::stop_token stop)
        : against(given), arrivals(make_schedule(planned))
    {
        this->context.planned = &planned;
        this->context.expected = &given.expected;
        this->context.entries = given.entries.size();
        this->context.run = given.run.empty() ? draw_run_name() : given.run;
        this->context.start = clock::now() + lead;
        this->context.stop = std::move(stop);
    }

    report run()
    {
        const std::size_t wanted =
            std::min(this->context.planned->threads, this->arrivals.size());
        this->working = wanted;
        std::vector<std::jthread> threads;
        for (std::size_t count = 0; count < wanted; ++count)
            threads.emplace_back([this] { this->work(); });
        this->watch();
        const std::chrono::duration<double> length = this->length();
        threads.clear(); // joins
        this->read_ledgers();
        this->all.lost_is_broken = this->context.planned->lost_is_broken;
        this->all.seconds = length.count();
        return std::move(this->all);
    }

private:
    // Of the arrivals; shorter when the run was stopped.
    std::chrono::duration<double> length() const
    {
        const std::chrono::duration<double> planned =
            this->context.planned->length;
        if (!this->context.stop.stop_requested())
            return planned;
        const std::chrono::duration<double> elapsed =
            clock::now() - this->context.start;
        return std::clamp(elapsed, {}, planned);
    }

    void work()
    {
        report found;
        std::vector<outcome> done;
        caller sender(this->against.entries, this->context.planned->grace);
        while (true) {
            const std::size_t index = this->next++;
            if (index >= this->arrivals.size())
                break;
            const arrival& coming = this->arrivals[index];
            const auto when = this->context.start + coming.at;
            if (!sleep_until(when, this->context.stop))
                break;
            const auto late = clock::now() - when;
            ++this->sent;
            outcome one = run_request(this->context, coming, sender);
            found.add(one, duration_cast<microseconds>(late));
            ++this->ended;
            this->correct += one.correct() ? 1U : 0U;
            one.between = {}; // counted; the ledger's audit needs it no more
            done.push_back(std::move(one));
        }
        this->leave(found, std::move(done));
    }

    void leave(const report& found, std::vector<outcome> done)
    {
        const std::lock_guard lock(this->mutex);
        this->all.merge(found);
        std::ranges::move(done, std::back_inserter(this->outcomes));
        --this->working;
        this->changed.notify_all();
    }

    // Waits for the threads, and tells how far they are.
    void watch()
    {
        constexpr milliseconds pause{1'000};
        std::unique_lock lock(this->mutex);
        const auto all_left = [this] { return this->working == 0; };
        while (!this->changed.wait_for(lock, pause, all_left)) {
            if (!this->against.on_progress)
                continue;
            lock.unlock();
            this->against.on_progress(this->current());
            lock.lock();
        }
    }

    progress current() const
    {
        const auto elapsed = clock::now() - this->context.start;
        return {duration_cast<milliseconds>(elapsed),
                this->arrivals.size(),
                this->sent,
                this->ended,
                this->correct};
    }

    void read_ledgers()
    {
        const ledgers_read read = load::read_ledgers(this->against.ledgers,
                                                     this->context.run + "-",
                                                     this->against.settle);
        this->all.ledgers_read = read.read;
        this->all.ledgers_failed = read.failed;
        this->all.add_audit(compare_ledgers(this->outcomes, read.runs));
    }

    const targets& against;
    std::vector<arrival> arrivals;
    run_context context;
    std::atomic<std::size_t> next = 0;
    std::atomic<std::uint64_t> sent = 0;
    std::atomic<std::uint64_t> ended = 0;
    std::atomic<std::uint64_t> correct = 0;

    std::mutex mutex; // of what follows
    std::condition_variable changed;
    std::size_t working = 0;
    report all;
    std::vector<outcome> outcomes;
};

} // namespace

tl::expected<report, std::string>
run(const plan& planned, const targets& against, std::stop_token stop)
{
    if (std::string wrong = problem_of(planned, against); !wrong.empty())
        return tl::make_unexpected(std::move(wrong));
    return run_state(planned, against, std::move(stop)).run();
}

} // namespace load
