#include <greengagedrum/memory/bounded_append.hpp>

#include <algorithm>

namespace greengagedrum::memory
{

void append_bounded(std::string& to,
                    std::string_view bytes,
                    const account& counted_in)
{
    const std::size_t needed = to.size() + bytes.size();
    if (needed > to.capacity()) {
        const std::uint64_t level = counted_in.levels().end_response;
        const std::uint64_t left = level - std::min(level, counted_in.held());
        std::string grown; // `reserve` of a string in use doubles it too
        grown.reserve(needed + std::min<std::size_t>(to.size(), left / 2));
        grown += to;
        to = std::move(grown);
    }
    to += bytes;
}

} // namespace greengagedrum::memory
