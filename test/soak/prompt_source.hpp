// Draws the prompts that requests announce in X-Prompt-Prefix: parts that
// requests share, in order, and a last one of the request's own.
#pragma once

#include <cstdint>
#include <random>
#include <string>

namespace soak
{

struct prompt {
    std::uint64_t first = 0; // its first part, which all of a kind share
    std::string header;      // empty: announces none
};

class prompt_source
{
public:
    explicit prompt_source(std::uint64_t seed) : dice(seed) {}

    prompt draw();
    // With `part` somewhere between the first and the last one.
    prompt draw_with(std::uint64_t first, std::uint64_t part);

    std::uint64_t draw_first();
    // Part of no other prompt.
    std::uint64_t draw_unused();

private:
    std::uint64_t below(std::uint64_t bound) { return this->dice() % bound; }
    std::uint64_t draw_shared();
    std::uint64_t draw_rare();

    std::mt19937_64 dice;
    std::uint64_t drawn = 0;
};

// As in the header.
std::string part_text(std::uint64_t part);

} // namespace soak
