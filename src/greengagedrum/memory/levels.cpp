#include <greengagedrum/memory/levels.hpp>

#include <algorithm>

namespace greengagedrum::memory
{

namespace
{

constexpr std::uint64_t mebibyte = 1U << 20U;

// What a process uses without a request: about 15 MB alone and up to 60 MB in a
// fleet of hundreds of entries.
constexpr std::uint64_t base_bytes = 60 * mebibyte;

// Parts of the remainder, in percent. Kernel buffers: bytes that were received
// and not yet read, of connections that aren't stopped. Overhead: the
// allocator's fragmentation, strings that are moved as they grow, and copies
// during a delivery.
constexpr std::uint64_t kernel_percent = 30;
constexpr std::uint64_t overhead_percent = 20;

constexpr std::uint64_t percent(std::uint64_t of, std::uint64_t share)
{
    return of / 100 * share;
}

} // namespace

levels levels_of(std::uint64_t process_bytes)
{
    const std::uint64_t remainder =
        std::max(process_bytes, base_bytes) - base_bytes;
    levels out;
    // The lower bound serves a process that is smaller than the base: it can
    // still take small requests.
    out.capacity = std::max(percent(percent(remainder, 100 - kernel_percent),
                                    100 - overhead_percent),
                            mebibyte);
    out.stop_reading = percent(out.capacity, 60);
    out.reject = percent(out.capacity, 75);
    out.end_response = percent(out.capacity, 90);
    out.connection_share = percent(out.capacity, 10);
    out.workspace_share = percent(out.capacity, 40);
    out.small_body = std::min<std::uint64_t>(16U << 10U, out.capacity / 64);
    return out;
}

} // namespace greengagedrum::memory
