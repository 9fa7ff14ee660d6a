#include <standin/prefix_cache.hpp>
#include <standin/token_text.hpp>

#include <algorithm>

namespace standin
{

std::vector<prefix_block> prefix_blocks(std::string_view prompt)
{
    constexpr std::size_t block_bytes = 1024;
    std::vector<prefix_block> blocks;
    for (std::size_t begin = 0; begin < prompt.size(); begin += block_bytes) {
        const std::size_t end = std::min(prompt.size(), begin + block_bytes);
        blocks.push_back({prompt_digest(prompt.substr(0, end)),
                          prompt_tokens(prompt.substr(begin, end - begin)),
                          begin == 0});
    }
    return blocks;
}

std::uint32_t prefix_cache::use(std::span<const prefix_block> blocks)
{
    const auto missing =
        std::ranges::find_if(blocks, [this](const prefix_block& block) {
            return !this->places.contains(block.hash);
        });
    const auto count =
        static_cast<std::size_t>(std::distance(blocks.begin(), missing));
    std::uint32_t found = 0;
    // Back to front, so that the start of a prompt outlives its rest.
    for (std::size_t i = count; i > 0; --i) {
        const auto place = this->places[blocks[i - 1].hash];
        this->recent.splice(this->recent.begin(), this->recent, place);
        found += blocks[i - 1].tokens;
    }
    return found;
}

void prefix_cache::store(std::span<const prefix_block> blocks,
                         std::vector<prefix_change>& changes)
{
    for (std::size_t i = blocks.size(); i > 0; --i) {
        const prefix_block& block = blocks[i - 1];
        if (this->places.contains(block.hash))
            continue;
        this->recent.push_front(block);
        this->places[block.hash] = this->recent.begin();
        this->tokens += block.tokens;
        if (block.first)
            changes.push_back({block.hash, true});
    }
    while (this->tokens > this->capacity_tokens)
        this->drop_oldest(changes);
}

void prefix_cache::drop_oldest(std::vector<prefix_change>& changes)
{
    const prefix_block& oldest = this->recent.back();
    this->tokens -= oldest.tokens;
    if (oldest.first)
        changes.push_back({oldest.hash, false});
    this->places.erase(oldest.hash);
    this->recent.pop_back();
}

} // namespace standin
