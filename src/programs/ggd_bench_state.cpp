// Measures how the state of one entry grows and what it costs, in one thread
// and without a network: configuration over workspaces and upstreams, the
// memory of tickets, telemetry's series, peers' load and the peer list. Prints
// every point, a straight line through them and its spread. Times are
// processor time of the thread, memory what malloc has given out.
//
//     ggd-bench-state [--repeat N]
#include <popt.h>
#include <programs/bench_state/sections.hpp>

#include <cstdio>
#include <memory>

int main(int count, const char** arguments)
{
    int repeat = 5;
    const poptOption table[] = {{"repeat",
                                 'n',
                                 POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT,
                                 &repeat,
                                 0,
                                 "repeats of each point",
                                 "N"},
                                POPT_AUTOHELP POPT_TABLEEND};
    const std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(
        poptGetContext("ggd-bench-state", count, arguments, table, 0),
        &poptFreeContext);
    if (poptGetNextOpt(context.get()) != -1 || repeat < 1) {
        std::fputs("ggd-bench-state: bad option, see --help\n", stderr);
        return 2;
    }
    bench::measure_workspaces(repeat);
    bench::measure_fleet(repeat);
    bench::measure_tickets(repeat);
    bench::measure_series(repeat);
    bench::measure_shares(repeat);
    bench::measure_sharing(repeat);
    bench::measure_roster(repeat);
    return 0;
}
