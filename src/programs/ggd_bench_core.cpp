// Measures what decisions cost: processor time and memory of the planner, and
// of the whole core, against the number of engines and of requests in flight.
//
//     ggd-bench-core [--json] [--repeat N] [--decisions N] [--policy NAME]
#include <greengagedrum/delivery/scheduler.hpp>
#include <greengagedrum/placement/planner.hpp>

#include <gsl/util>
#include <malloc.h>
#include <popt.h>
#include <programs/bench_core/rows.hpp>
#include <programs/bench_core/workload.hpp>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <deque>
#include <iostream>
#include <string>
#include <vector>

namespace
{

using namespace greengagedrum;
using bench::make_fleet;
using bench::make_list;
using bench::make_work;
using bench::row;
using bench::settings;

constexpr std::uint32_t engine_counts[] = {10, 100, 300, 1000};
constexpr std::uint32_t flight_counts[] = {100, 1000, 10'000, 100'000};
constexpr base::duration between = std::chrono::microseconds(500);

// Seconds of processor time of this thread: other programs on the machine
// don't count.
double processor_seconds()
{
    constexpr double nano = 1e-9;
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) +
           nano * static_cast<double>(time.tv_nsec);
}

// Microseconds of each of `count` since `start`.
double micros(double start, int count)
{
    constexpr double million = 1e6;
    return million * (processor_seconds() - start) / count;
}

std::uint64_t allocated()
{
    return mallinfo2().uordblks;
}

placement::policy_choice policy_of(const std::string& name)
{
    using enum placement::policy_choice;
    if (name == "round_robin")
        return round_robin;
    if (name == "least_reported")
        return least_reported;
    return name == "least_outstanding" ? least_outstanding : scheduler;
}

class planner_bench
{
public:
    planner_bench(std::uint32_t engines,
                  std::uint32_t in_flight,
                  const std::string& policy)
        : fleet(make_fleet(engines, 2 * in_flight / engines + 8)),
          options(make_options(policy)),
          tested(base::data_centre_id("zona-4"), this->options)
    {
        const std::uint64_t before = allocated();
        this->tested.set_fleet(this->fleet);
        this->tested.set_listed(make_list(this->fleet));
        this->tell();
        this->engine_bytes =
            static_cast<double>(allocated() - before) / engines;
        const std::uint64_t idle = allocated();
        for (std::uint32_t count = 0; count < in_flight; ++count)
            this->begin();
        this->request_bytes =
            static_cast<double>(allocated() - idle) / in_flight;
    }

    // Microseconds a choice alone.
    double choose(int decisions)
    {
        this->tell();
        const double start = processor_seconds();
        std::uint64_t found = 0;
        for (int count = 0; count < decisions; ++count) {
            const auto chosen =
                this->tested.choose(make_work(++this->number), {}, this->now);
            found += chosen ? 1 : 0;
            this->now += between;
        }
        if (found == 0)
            std::fputs("nothing could be placed\n", stderr);
        return micros(start, decisions);
    }

    // Microseconds a whole life of a request in the planner.
    double cycle(int decisions)
    {
        const double start = processor_seconds();
        for (int count = 0; count < decisions; ++count) {
            this->begin();
            this->end_oldest();
        }
        return micros(start, decisions);
    }

    double bytes_a_request() const { return this->request_bytes; }
    double bytes_an_engine() const { return this->engine_bytes; }

private:
    static placement::options make_options(const std::string& policy)
    {
        placement::options out;
        out.policy = policy_of(policy);
        out.slot = base::slot_id("bench");
        return out;
    }

    // Eight peers have one or two requests on every engine, and each engine
    // has reported, so that estimates have all their terms.
    void tell()
    {
        constexpr int peers = 8;
        for (int peer = 0; peer < peers; ++peer) {
            std::vector<capacity::upstream_usage> uses;
            for (const config::upstream_entry& entry : this->fleet.upstreams)
                uses.push_back({entry.id,
                                1U + static_cast<unsigned>(peer % 2),
                                2000,
                                false});
            this->tested.peer_use(
                base::slot_id(100 + static_cast<std::uint64_t>(peer)),
                uses,
                this->now);
        }
        for (const config::upstream_entry& entry : this->fleet.upstreams)
            this->tested.reported({entry.id, between, 12, 2, 9000, {}},
                                  this->now);
    }

    void begin()
    {
        const base::request_spec item = make_work(++this->number);
        const auto chosen = this->tested.choose(item, {}, this->now);
        this->now += between;
        if (!chosen)
            return;
        const base::dispatch_id id{{1}, this->number};
        this->tested.sent(id, chosen->upstream, item, this->now);
        this->live.push_back(id);
        constexpr std::size_t in_prefill = 8;
        if (this->live.size() > in_prefill)
            this->tested.progressed(
                this->live[this->live.size() - in_prefill], 1, this->now);
    }

    void end_oldest()
    {
        if (this->live.empty())
            return;
        const base::dispatch_id id = this->live.front();
        this->live.pop_front();
        this->tested.progressed(id, 8, this->now + between);
        static_cast<void>(this->tested.patience(id, this->now));
        this->tested.finished(id, 8, 0);
        this->tested.ended(id, this->now);
    }

    config::fleet fleet;
    placement::options options;
    placement::planner tested;
    base::instant now{std::chrono::seconds(1)};
    std::uint64_t number = 0;
    std::deque<base::dispatch_id> live;
    double engine_bytes = 0;
    double request_bytes = 0;
};

// Requests from arrival to answer through the core, `in_flight` at a time.
class core_bench
{
public:
    core_bench(std::uint32_t engines,
               std::uint32_t in_flight,
               const std::string& policy)
        : core(make_options(policy))
    {
        config::snapshot snapshot;
        snapshot.fleet = make_fleet(engines, 2 * in_flight / engines + 8);
        membership::instance_list list;
        list.instances = make_list(snapshot.fleet);
        this->step(delivery::config_changed{
            std::make_shared<const config::snapshot>(snapshot)});
        this->step(delivery::instances_listed{list});
        for (std::uint32_t count = 0; count < in_flight; ++count)
            this->arrive();
    }

    double cycle(int decisions)
    {
        const double start = processor_seconds();
        for (int count = 0; count < decisions; ++count) {
            this->arrive();
            this->finish_oldest();
        }
        return micros(start, decisions);
    }

private:
    static delivery::scheduler_options make_options(const std::string& policy)
    {
        delivery::scheduler_options out;
        out.slot = base::slot_id("bench");
        out.incarnation = base::incarnation{1};
        out.data_centre = base::data_centre_id("zona-4");
        out.placement.policy = policy_of(policy);
        out.placement.patience_floor = std::chrono::hours(1);
        return out;
    }

    void step(const delivery::event& what)
    {
        this->actions.clear();
        this->core.step(what, this->now, this->actions);
        for (const delivery::action& one : this->actions) {
            if (const auto* sent = std::get_if<delivery::start_dispatch>(&one))
                this->live.push_back(sent->dispatch);
        }
    }

    void arrive()
    {
        delivery::request_arrived what;
        what.request = base::request_id{++this->number};
        what.spec = make_work(this->number);
        what.deadline_after = std::chrono::hours(1);
        this->now += between;
        this->step(what);
    }

    void finish_oldest()
    {
        if (this->live.empty())
            return;
        const base::dispatch_id id = this->live.front();
        this->live.pop_front();
        this->step(delivery::stream_progressed{id, 1});
        this->step(delivery::stream_progressed{id, 8});
        this->step(delivery::stream_finished{id, this->whole, 0});
    }

    delivery::scheduler core;
    base::instant now{std::chrono::seconds(1)};
    std::uint64_t number = 0;
    std::deque<base::dispatch_id> live;
    std::vector<delivery::action> actions;
    base::answer_ptr whole = std::make_shared<const base::answer>();
};

row measure(std::uint32_t engines, std::uint32_t in_flight, const settings& how)
{
    row out;
    out.engines = engines;
    out.in_flight = in_flight;
    planner_bench planner(engines, in_flight, how.policy);
    core_bench core(engines, in_flight, how.policy);
    out.bytes_a_request = planner.bytes_a_request();
    out.bytes_an_engine = planner.bytes_an_engine();
    for (int repeat = 0; repeat < how.repeat; ++repeat) {
        out.choose_us.push_back(planner.choose(how.decisions));
        out.cycle_us.push_back(planner.cycle(how.decisions));
        out.core_us.push_back(core.cycle(how.decisions));
    }
    for (auto* values : {&out.choose_us, &out.cycle_us, &out.core_us})
        std::sort(values->begin(), values->end());
    return out;
}

// False when the arguments are wrong.
bool read_arguments(int argc, const char** argv, settings& out)
{
    char* policy = nullptr;
    const poptOption table[] = {
        {"json", 0, POPT_ARG_NONE, &out.json, 0, "Print JSON", nullptr},
        {"repeat", 0, POPT_ARG_INT, &out.repeat, 0, "Repeats of a row", "N"},
        {"decisions",
         0,
         POPT_ARG_INT,
         &out.decisions,
         0,
         "Decisions of a repeat",
         "N"},
        {"most-in-flight",
         0,
         POPT_ARG_INT,
         &out.most_in_flight,
         0,
         "Leave out rows with more requests in flight",
         "N"},
        {"policy", 0, POPT_ARG_STRING, &policy, 0, "As --placement", "NAME"},
        POPT_AUTOHELP POPT_TABLEEND};
    poptContext context = poptGetContext(nullptr, argc, argv, table, 0);
    const auto freed = gsl::finally([&] {
        poptFreeContext(context);
        std::free(policy);
    });
    const bool right = poptGetNextOpt(context) == -1 &&
                       poptPeekArg(context) == nullptr && out.repeat > 0 &&
                       out.decisions > 0;
    if (policy != nullptr)
        out.policy = policy;
    return right;
}

} // namespace

int main(int argc, char** argv)
{
    settings how;
    std::vector<const char*> arguments(argv, argv + argc);
    arguments.push_back(nullptr);
    if (!read_arguments(argc, arguments.data(), how)) {
        std::cerr << "see --help\n";
        return 2;
    }
    if (how.json == 0)
        std::puts("engines in flight  choose us (least-most)  life us "
                  "(least-most)  core us (least-most)  B/request B/engine");
    std::vector<row> rows;
    for (const std::uint32_t engines : engine_counts) {
        for (const std::uint32_t in_flight : flight_counts) {
            if (in_flight > static_cast<std::uint32_t>(how.most_in_flight))
                continue;
            rows.push_back(measure(engines, in_flight, how));
            if (how.json == 0)
                print_row(rows.back());
        }
    }
    if (how.json != 0)
        print_json(rows, how);
    return 0;
}
