#include <greengagedrum/memory/unread_response.hpp>

namespace greengagedrum::memory
{

namespace
{

double weight_of(const unread_response& one)
{
    // One microsecond more: of responses that have just begun, the largest
    // goes.
    return static_cast<double>(one.bytes) *
           static_cast<double>(one.stalled.count() + 1);
}

} // namespace

std::optional<std::size_t> first_to_end(std::span<const unread_response> from,
                                        base::duration least)
{
    std::optional<std::size_t> out;
    for (std::size_t at = 0; at < from.size(); ++at) {
        if (from[at].bytes == 0 || from[at].stalled < least)
            continue;
        if (!out || weight_of(from[at]) > weight_of(from[*out]))
            out = at;
    }
    return out;
}

} // namespace greengagedrum::memory
