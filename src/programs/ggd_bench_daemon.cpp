// Measures greengagedrumd as a process of its own, over loopback: what it adds
// to the latency of an engine, its processor time over upstreams polled,
// requests and tokens a second, its memory over streams in flight. The load
// and the stand-ins run in this process and are not counted.
//
//     ggd-bench-daemon [--repeat N] [--program build/greengagedrumd]
#include <load/overhead.hpp>
#include <load/runner.hpp>
#include <standin/token_text.hpp>

#include <demo/one_entry.hpp>
#include <popt.h>
#include <programs/bench_state/fit.hpp>

#include <cstdio>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace
{

using bench::series;
using demo::one_entry;
using demo::one_entry_settings;
using std::chrono::milliseconds;
using std::chrono::seconds;
using clock = std::chrono::steady_clock;

constexpr double hundred = 100;
constexpr double thousand = 1e3;

struct arguments {
    std::string program = "build/greengagedrumd";
    int repeat = 3;
};

standin::engine_settings fast_engine()
{
    standin::engine_settings out;
    out.prefill_tokens_per_second = 1e6;
    out.decode_tokens_per_second = 1000;
    out.decode_slowdown = 0;
    out.batch_max = 2000;
    out.threads_max = 2200;
    return out;
}

load::expected_text engine_text()
{
    return [](std::string_view prompt, std::uint32_t index) {
        return standin::token_text(prompt, index);
    };
}

std::unique_ptr<one_entry> start(const arguments& chosen,
                                 one_entry_settings settings)
{
    settings.program = chosen.program;
    auto out = std::make_unique<one_entry>(settings);
    if (const std::string fault = out->start(); !fault.empty()) {
        std::cerr << "ggd-bench-daemon: " << fault << '\n';
        std::exit(EXIT_FAILURE);
    }
    return out;
}

void print_load_average()
{
    double now = 0;
    if (::getloadavg(&now, 1) == 1)
        std::printf("\n(load average of the machine: %.1f)\n", now);
}

// Cores used by the entry while `work` runs.
double cores_during(one_entry& all, const std::function<void()>& work)
{
    const double before = all.entry().processor_seconds();
    const auto start = clock::now();
    work();
    const std::chrono::duration<double> took = clock::now() - start;
    return (all.entry().processor_seconds() - before) / took.count();
}

load::report run(one_entry& all, const load::plan& planned)
{
    load::targets targets;
    targets.entries = {all.entry().callers()};
    targets.expected = engine_text();
    const auto found = load::run(planned, targets);
    if (!found) {
        std::cerr << "ggd-bench-daemon: " << found.error() << '\n';
        std::exit(EXIT_FAILURE);
    }
    if (found->ended(load::ending::answered) != found->offered())
        std::printf(
            "  (%llu of %llu requests got no answer)\n",
            static_cast<unsigned long long>(
                found->offered() - found->ended(load::ending::answered)),
            static_cast<unsigned long long>(found->offered()));
    return *found;
}

load::plan plan_of(double rate, milliseconds length, std::uint32_t tokens)
{
    load::plan out;
    out.rate = rate;
    out.length = length;
    out.threads = 600;
    out.classes = {one_entry::traffic(512, tokens)};
    return out;
}

void measure_added_latency(const arguments& chosen)
{
    one_entry_settings settings;
    settings.engine = fast_engine();
    // Finer steps than the added latency, which they would hide.
    settings.engine.step = std::chrono::microseconds(50);
    settings.engine.decode_tokens_per_second = 20'000;
    const auto all = start(chosen, settings);
    load::overhead_settings wanted;
    wanted.entry = all->entry().callers();
    wanted.engine = all->engine_address();
    wanted.model = one_entry::model;
    wanted.sort = one_entry::traffic(512, 16);
    wanted.rounds = 7;
    wanted.pairs = 300;
    wanted.warm_up = 50;
    wanted.expected = engine_text();
    const auto found = load::measure_overhead(wanted);
    if (!found) {
        std::cerr << "ggd-bench-daemon: " << found.error() << '\n';
        return;
    }
    std::puts("what an entry adds to an engine's latency (ms)");
    std::cout << to_text(*found) << std::flush;
}

void measure_idle(const arguments& chosen)
{
    series cores("idle entry: processor", "upstreams polled", "% of a core");
    series memory("idle entry: resident memory", "upstreams polled", "MiB");
    for (const std::size_t size : {1U, 25U, 50U, 100U, 200U}) {
        one_entry_settings settings;
        settings.engine = fast_engine();
        settings.upstreams = size;
        const auto all = start(chosen, settings);
        std::this_thread::sleep_for(seconds(2));
        std::vector<double> parts;
        std::vector<double> mib;
        for (int turn = 0; turn < chosen.repeat; ++turn) {
            parts.push_back(hundred * cores_during(*all, [] {
                                std::this_thread::sleep_for(seconds(3));
                            }));
            mib.push_back(all->entry().resident_mib());
        }
        cores.add(static_cast<double>(size), parts);
        memory.add(static_cast<double>(size), mib);
    }
    cores.print();
    memory.print();
}

void measure_rate(const arguments& chosen)
{
    constexpr std::uint32_t tokens = 16;
    constexpr milliseconds length(2500);
    one_entry_settings settings;
    settings.engine = fast_engine();
    const auto all = start(chosen, settings);
    run(*all, plan_of(50, milliseconds(1000), tokens));
    series rates("entry: processor, 16 tokens each", "requests", "ms");
    for (const double rate : {40.0, 80.0, 160.0, 320.0}) {
        std::vector<double> parts;
        double requests = 0;
        for (int turn = 0; turn < chosen.repeat; ++turn) {
            const double before = all->entry().processor_seconds();
            const auto found = run(*all, plan_of(rate, length, tokens));
            parts.push_back(thousand *
                            (all->entry().processor_seconds() - before));
            requests = static_cast<double>(found.offered());
        }
        rates.add(requests, parts);
    }
    rates.print();
    series lengths("entry: processor, 200 requests", "tokens", "ms");
    for (const std::uint32_t each : {8U, 64U, 128U, 256U}) {
        std::vector<double> parts;
        double requests = 0;
        for (int turn = 0; turn < chosen.repeat; ++turn) {
            const double before = all->entry().processor_seconds();
            const auto found = run(*all, plan_of(80, length, each));
            parts.push_back(thousand *
                            (all->entry().processor_seconds() - before));
            requests = static_cast<double>(found.offered());
        }
        lengths.add(requests * each, parts);
    }
    lengths.print();
}

// Streams that all wait at once: a second of arrivals, then a look.
double memory_of(one_entry& all, std::size_t streams)
{
    constexpr std::size_t loads = 2; // one load has at most 600 threads
    constexpr double arrivals = 1.5; // seconds
    std::vector<std::jthread> running;
    for (std::size_t at = 0; at < loads; ++at)
        running.emplace_back([&all, streams, at] {
            load::plan planned =
                plan_of(2 * static_cast<double>(streams) / loads / arrivals,
                        milliseconds(static_cast<int>(arrivals * thousand)),
                        24);
            planned.max_requests = streams / loads;
            planned.seed = at + 1;
            run(all, planned);
        });
    std::this_thread::sleep_for(milliseconds(4000));
    return all.entry().resident_mib();
}

void measure_streams(const arguments& chosen)
{
    series memory("entry: resident memory", "streams in flight", "MiB");
    for (const std::size_t size : {125U, 250U, 500U, 1000U}) {
        std::vector<double> mib;
        for (int turn = 0; turn < chosen.repeat; ++turn) {
            one_entry_settings settings;
            settings.engine = fast_engine();
            settings.engine.decode_tokens_per_second = 4;
            settings.caller_threads = 1200;
            const auto all = start(chosen, settings);
            mib.push_back(memory_of(*all, size));
        }
        memory.add(static_cast<double>(size), mib);
    }
    memory.print();
}

bool read_arguments(int count, const char** given, arguments& out)
{
    char* program = nullptr;
    const poptOption table[] = {
        {"repeat", 'n', POPT_ARG_INT, &out.repeat, 0, "repeats", "N"},
        {"program", 'p', POPT_ARG_STRING, &program, 0, "the daemon", "FILE"},
        POPT_AUTOHELP POPT_TABLEEND};
    const std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(
        poptGetContext("ggd-bench-daemon", count, given, table, 0),
        &poptFreeContext);
    const bool right = poptGetNextOpt(context.get()) == -1 && out.repeat > 0;
    if (program != nullptr)
        out.program = program;
    std::free(program);
    return right;
}

} // namespace

int main(int count, char** given)
{
    arguments chosen;
    if (!read_arguments(count, const_cast<const char**>(given), chosen)) {
        std::cerr << "ggd-bench-daemon: bad option, see --help\n";
        return 2;
    }
    measure_added_latency(chosen);
    measure_idle(chosen);
    measure_rate(chosen);
    measure_streams(chosen);
    print_load_average();
    return EXIT_SUCCESS;
}
