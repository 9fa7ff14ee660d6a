#include "prompt_source.hpp"

#include <algorithm>
#include <sstream>
#include <vector>

namespace soak
{

namespace
{

constexpr std::uint64_t first_parts = 2;
constexpr std::uint64_t shared_parts = 12;
constexpr std::uint64_t rare_parts = 400;
constexpr std::uint64_t rare_every = 4; // one prompt in so many has a rare part

// The numbers of parts, by sort.
constexpr std::uint64_t firsts_begin = 0x1000;
constexpr std::uint64_t shared_begin = 0x2000;
constexpr std::uint64_t rare_begin = 0x3000;
constexpr std::uint64_t own_begin = 0x1'0000'0000;
constexpr std::uint64_t unused_begin = 0x1'0000'0000'0000;

constexpr std::size_t first_tokens = 600;
constexpr std::size_t part_tokens = 120;

std::string header_of(const std::vector<std::uint64_t>& parts)
{
    std::ostringstream out;
    for (const std::uint64_t part : parts) {
        if (part == parts.front())
            out << part_text(part) << ':' << first_tokens;
        else
            out << ',' << part_text(part) << ':' << part_tokens;
    }
    return out.str();
}

} // namespace

std::string part_text(std::uint64_t part)
{
    std::ostringstream out;
    out << std::hex << part;
    return out.str();
}

std::uint64_t prompt_source::draw_first()
{
    return firsts_begin + this->below(first_parts);
}

// Low numbers are the most popular.
std::uint64_t prompt_source::draw_shared()
{
    return shared_begin + std::min({this->below(shared_parts),
                                    this->below(shared_parts),
                                    this->below(shared_parts)});
}

std::uint64_t prompt_source::draw_rare()
{
    return rare_begin + this->below(rare_parts);
}

std::uint64_t prompt_source::draw_unused()
{
    return unused_begin + this->below(unused_begin);
}

prompt prompt_source::draw()
{
    const std::uint64_t first = this->draw_first();
    std::vector<std::uint64_t> parts{first, this->draw_shared()};
    if (this->below(rare_every) == 0)
        parts.push_back(this->draw_rare());
    parts.push_back(own_begin + this->drawn++);
    return {first, header_of(parts)};
}

prompt prompt_source::draw_with(std::uint64_t first, std::uint64_t part)
{
    std::vector<std::uint64_t> parts{first, this->draw_shared()};
    if (this->below(rare_every) == 0)
        parts.push_back(this->draw_rare());
    const std::uint64_t place = 1 + this->below(parts.size());
    parts.insert(parts.begin() + static_cast<std::ptrdiff_t>(place), part);
    parts.push_back(own_begin + this->drawn++);
    return {first, header_of(parts)};
}

} // namespace soak
