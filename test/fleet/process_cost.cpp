#include "process_cost.hpp"

#include <end_to_end/processor_time.hpp>
#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <sstream>

namespace fleet
{

namespace
{

std::uint64_t memory_kib(pid_t id)
{
    std::ifstream file("/proc/" + std::to_string(id) + "/status");
    std::string word;
    std::uint64_t size = 0;
    while (file >> word)
        if (word == "VmRSS:" && file >> size)
            return size;
    return 0;
}

} // namespace

fleet_cost fleet_cost::operator-(const fleet_cost& before) const
{
    fleet_cost out = *this;
    out.seconds = std::chrono::duration<double>(this->at - before.at).count();
    out.processor_seconds -= before.processor_seconds;
    out.peer_bytes -= before.peer_bytes;
    return out;
}

fleet_cost measure(const end_to_end::cluster& all)
{
    fleet_cost out;
    out.at = std::chrono::steady_clock::now();
    for (const auto& [slot, entry] : all.entries) {
        ++out.entries;
        out.processor_seconds +=
            end_to_end::processor_seconds(entry.process->id());
        const std::uint64_t memory = memory_kib(entry.process->id());
        out.memory_kib += memory;
        out.memory_kib_max = std::max(out.memory_kib_max, memory);
    }
    out.peer_bytes = all.peer_bytes();
    return out;
}

std::string to_text(const fleet_cost& spent)
{
    constexpr double percent = 100;
    constexpr double kib = 1024;
    const auto count = static_cast<double>(spent.entries);
    std::ostringstream out;
    out.precision(3);
    out << spent.processor_seconds / spent.seconds / count * percent
        << " % of a processor, "
        << static_cast<double>(spent.memory_kib) / count / kib
        << " MiB resident (largest "
        << static_cast<double>(spent.memory_kib_max) / kib << "), "
        << 2 * static_cast<double>(spent.peer_bytes) / spent.seconds / count /
               kib
        << " KiB/s with peers, both ways, a daemon";
    return out.str();
}

} // namespace fleet
