// Measures what links between entries cost, idle and with load.
//
// It runs the peer duties of 2, 4, 8 and 16 entries of one data centre in one
// process, over loopback, and prints for each: bytes sent over a link and
// second (without TCP/IP headers), bytes a frame, and processor time of one
// end of a link in parts of a core. Processor time is of the whole process:
// what the bench itself takes is in it.
#include <greengagedrum/daemon/clock.hpp>
#include <greengagedrum/daemon/config_thread.hpp>
#include <greengagedrum/daemon/peer_duty.hpp>

#include <popt.h>
#include <sys/resource.h>

#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace
{

using namespace greengagedrum;

constexpr std::size_t inbox_size = 65536;
constexpr std::chrono::milliseconds poll_pause(10);
constexpr std::chrono::milliseconds load_turn(100);
constexpr std::size_t upstreams = 8; // in each entry's load
constexpr std::chrono::seconds settle(2);

struct entry {
    std::string slot;
    callers::inbox events{inbox_size};
    callers::snapshot_holder in_force;
    daemon::config_thread documents{in_force, events};
    std::unique_ptr<daemon::peer_duty> duty;

    explicit entry(std::size_t number)
        : slot("zona-4-" + std::to_string(number))
    {
        daemon::peer_duty_options options;
        options.roster.slot = base::slot_id(this->slot);
        options.roster.incarnation = base::incarnation{number + 1};
        options.roster.data_centre = base::data_centre_id("zona-4");
        options.address = "127.0.0.1:0";
        options.key = "a key for the bench";
        options.seed = number;
        this->duty = std::make_unique<daemon::peer_duty>(
            options, this->events, this->documents);
        if (!this->duty->start())
            std::abort();
    }

    ~entry() { this->duty->stop(); }
};

using entry_list = std::vector<std::unique_ptr<entry>>;

struct totals {
    peers::link_counters traffic;
    double processor = 0; // seconds
    std::chrono::steady_clock::time_point at;
};

membership::instance_list list_of(const entry_list& entries)
{
    membership::instance_list out;
    out.revision = 1;
    for (const auto& one : entries)
        out.instances.push_back({one->slot,
                                 membership::instance_type::entry,
                                 "zona-4",
                                 one->duty->address(),
                                 membership::listed_state::live});
    return out;
}

void drop_events(const entry_list& entries)
{
    std::vector<callers::inbox_item> items;
    for (const auto& one : entries) {
        one->events.drain(items, std::chrono::milliseconds(0));
        items.clear();
    }
}

double processor_seconds()
{
    rusage used{};
    ::getrusage(RUSAGE_SELF, &used);
    const auto seconds = [](const timeval& value) {
        constexpr double micro = 1e-6;
        return static_cast<double>(value.tv_sec) +
               static_cast<double>(value.tv_usec) * micro;
    };
    return seconds(used.ru_utime) + seconds(used.ru_stime);
}

totals total_of(const entry_list& entries)
{
    totals out;
    for (const auto& one : entries)
        for (const auto& [slot, counted] : one->duty->status().counters) {
            out.traffic.bytes_out += counted.traffic.bytes_out;
            out.traffic.frames_out += counted.traffic.frames_out;
        }
    out.processor = processor_seconds();
    out.at = std::chrono::steady_clock::now();
    return out;
}

// One turn of load: a changed digest of every entry and one claim from each to
// each.
void put_load(const entry_list& entries, std::uint32_t turn)
{
    for (const auto& one : entries) {
        capacity::load_digest load;
        for (std::size_t at = 0; at < upstreams; ++at)
            load.uses.push_back(
                {base::upstream_id("photo-" + std::to_string(at)),
                 turn,
                 turn,
                 false});
        one->duty->tell_load(load);
        for (const auto& other : entries) {
            if (other == one)
                continue;
            idempotency::claim_request claim;
            claim.attempt = turn;
            claim.home = base::slot_id(other->slot);
            claim.subject = idempotency::caller_key{base::workspace_id("atlas"),
                                                    "order-0000000000000001"};
            one->duty->send_claim({claim.home, claim});
        }
    }
}

void run_for(const entry_list& entries, std::chrono::seconds time, bool load)
{
    const auto end = std::chrono::steady_clock::now() + time;
    auto next_load = std::chrono::steady_clock::now();
    std::uint32_t turn = 0;
    while (std::chrono::steady_clock::now() < end) {
        if (load && std::chrono::steady_clock::now() >= next_load) {
            put_load(entries, ++turn);
            next_load += load_turn;
        }
        drop_events(entries);
        std::this_thread::sleep_for(poll_pause);
    }
}

void measure(std::size_t count, std::chrono::seconds time, bool load)
{
    entry_list entries;
    for (std::size_t number = 0; number < count; ++number)
        entries.push_back(std::make_unique<entry>(number));
    for (const auto& one : entries)
        one->duty->offer_list(list_of(entries));
    run_for(entries, settle, load);
    const totals before = total_of(entries);
    run_for(entries, time, load);
    const totals after = total_of(entries);
    const double seconds =
        std::chrono::duration<double>(after.at - before.at).count();
    const auto ends = static_cast<double>(count * (count - 1));
    const auto bytes =
        static_cast<double>(after.traffic.bytes_out - before.traffic.bytes_out);
    const auto frames = static_cast<double>(after.traffic.frames_out -
                                            before.traffic.frames_out);
    constexpr double percent = 100.0;
    std::printf("%5zu  %-4s  %10.1f  %10.2f  %11.1f  %14.4f  %15.4f\n",
                count,
                load ? "load" : "idle",
                bytes / seconds / ends,
                frames / seconds / ends,
                bytes / frames,
                percent * (after.processor - before.processor) / seconds / ends,
                percent * (after.processor - before.processor) / seconds /
                    static_cast<double>(count));
}

} // namespace

int main(int count, const char** arguments)
{
    constexpr int default_seconds = 5;
    int seconds = default_seconds;
    const poptOption table[] = {{"seconds",
                                 's',
                                 POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT,
                                 &seconds,
                                 0,
                                 "measured time of each row",
                                 "SECONDS"},
                                POPT_AUTOHELP POPT_TABLEEND};
    const std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(
        poptGetContext("ggd-bench-peers", count, arguments, table, 0),
        &poptFreeContext);
    if (poptGetNextOpt(context.get()) != -1 || seconds < 1) {
        std::fputs("ggd-bench-peers: bad option, see --help\n", stderr);
        return 2;
    }
    std::puts("peers  mode  B/s a link  frames/s  bytes/frame  core% a link "
              "end  core% an entry");
    for (const bool load : {false, true})
        for (const std::size_t peers : {2U, 4U, 8U, 16U})
            measure(peers, std::chrono::seconds(seconds), load);
    return 0;
}
