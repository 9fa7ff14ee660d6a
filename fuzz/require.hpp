// What every fuzz target needs: a property that ends the run when it fails,
// and input cut into parts.
#pragma once

#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <string_view>
#include <vector>

namespace fuzz
{

inline void require(bool holds, const char* property)
{
    if (holds)
        return;
    std::fprintf(stderr, "property broken: %s\n", property);
    std::abort();
}

inline std::string_view text_of(const std::uint8_t* data, std::size_t size)
{
    return {reinterpret_cast<const char*>(data), size};
}

// Cut into pieces of 1 to 16 bytes by a generator seeded with `seed`.
inline std::vector<std::string_view> cut(std::string_view text,
                                         std::uint64_t seed)
{
    constexpr std::uint64_t factor = 6364136223846793005U;
    constexpr unsigned high = 60; // its four highest bits
    std::vector<std::string_view> out;
    while (!text.empty()) {
        seed = seed * factor + 1;
        const std::size_t size = 1 + static_cast<std::size_t>(seed >> high);
        out.push_back(text.substr(0, size));
        text.remove_prefix(out.back().size());
    }
    return out;
}

// The parts between lines of `---`; the last one holds the rest.
inline std::vector<std::string_view> parts(std::string_view text,
                                           std::size_t most)
{
    constexpr std::string_view mark = "\n---\n";
    std::vector<std::string_view> out;
    while (out.size() + 1 < most) {
        const std::size_t end = text.find(mark);
        if (end == std::string_view::npos)
            break;
        out.push_back(text.substr(0, end));
        text.remove_prefix(end + mark.size());
    }
    out.push_back(text);
    return out;
}

} // namespace fuzz
