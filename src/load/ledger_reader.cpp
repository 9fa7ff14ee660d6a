#include <load/http_endpoint.hpp>
#include <load/ledger_reader.hpp>

#include <httplib.h>

#include <algorithm>
#include <iterator>
#include <thread>

namespace load
{

namespace
{

using std::chrono::milliseconds;
using clock = std::chrono::steady_clock;

constexpr milliseconds longest_read{5'000};
constexpr milliseconds between_reads{200};

ledgers_read read_once(std::span<const std::string> addresses)
{
    ledgers_read all;
    for (const std::string& address : addresses) {
        const auto client = make_client(address);
        bound_client(*client, longest_read);
        const httplib::Result result = client->Get("/ledger");
        const bool answered = result && result->status == 200;
        auto runs = parse_ledger(address, answered ? result->body : "");
        if (!runs) {
            ++all.failed;
            continue;
        }
        ++all.read;
        std::ranges::move(*runs, std::back_inserter(all.runs));
    }
    return all;
}

bool still_running(const ledgers_read& all, std::string_view run)
{
    return std::ranges::any_of(all.runs, [run](const ledger_run& entry) {
        return entry.state == "running" && entry.tag.starts_with(run);
    });
}

} // namespace

ledgers_read read_ledgers(std::span<const std::string> addresses,
                          std::string_view run,
                          milliseconds longest)
{
    const clock::time_point end = clock::now() + longest;
    ledgers_read all = read_once(addresses);
    while (still_running(all, run) && clock::now() < end) {
        std::this_thread::sleep_for(between_reads);
        all = read_once(addresses);
    }
    return all;
}

} // namespace load
