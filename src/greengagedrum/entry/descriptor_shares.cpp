#include <greengagedrum/entry/descriptor_shares.hpp>

#include <sys/resource.h>

#include <algorithm>

namespace greengagedrum::entry
{

namespace
{

// The platform keeps so many of what it grants for files.
constexpr std::uint64_t platform_files = 200;

// Log, timers, listening sockets, the store and its checks.
constexpr std::uint64_t own_most = 64;

constexpr std::uint64_t operators_most = 8; // connections a port
constexpr std::uint64_t peers_most = 512;
constexpr std::uint64_t tunnels_most = 256;

// Each process serves a few of everyone, however few descriptors it has.
constexpr std::uint64_t least = 2;

constexpr std::uint64_t callers_most = 1800;

} // namespace

descriptor_shares share_descriptors(std::uint64_t granted,
                                    std::uint64_t process_limit)
{
    std::uint64_t all = process_limit;
    if (granted > platform_files)
        all = std::min(all, granted - platform_files);
    const std::uint64_t own = std::min(own_most, all / 4);
    const std::uint64_t operators = std::clamp(all / 16, least, operators_most);
    std::uint64_t left = all - own - std::min(all - own, 2 * operators);
    const std::uint64_t peers = std::clamp(left / 8, least, peers_most);
    const std::uint64_t tunnels = std::clamp(left / 16, least, tunnels_most);
    left -= std::min(left, peers + 2 * tunnels);
    const std::uint64_t callers = std::clamp(left / 2, least, callers_most);
    return {callers, peers, tunnels, operators};
}

std::uint64_t descriptor_limit()
{
    rlimit out{};
    constexpr std::uint64_t unknown = 1024;
    return ::getrlimit(RLIMIT_NOFILE, &out) == 0 ? out.rlim_cur : unknown;
}

} // namespace greengagedrum::entry
