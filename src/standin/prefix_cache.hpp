// The engine's cache of prompt prefixes: blocks of 1,024 bytes, each named by
// the hash of the prompt up to its end, the least recently used dropped first.
#pragma once

#include <cstdint>
#include <list>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace standin
{

struct prefix_block {
    std::uint64_t hash = 0; // of the prompt from its start to this block's end
    std::uint32_t tokens = 0;
    bool first = false; // its hash is the `prefix_hash` of cache events
};

// The blocks of a prompt; the last may be shorter. Empty for no prompt.
std::vector<prefix_block> prefix_blocks(std::string_view prompt);

struct prefix_change {
    std::uint64_t prefix_hash = 0;
    bool stored = false; // false: dropped
};

class prefix_cache
{
public:
    explicit prefix_cache(std::uint32_t capacity) : capacity_tokens(capacity) {}

    // Tokens of the longest cached prefix; marks its blocks as just used.
    std::uint32_t use(std::span<const prefix_block> blocks);

    // Stores every block; changes of first blocks are appended to `changes`.
    void store(std::span<const prefix_block> blocks,
               std::vector<prefix_change>& changes);

    std::uint32_t held_tokens() const { return this->tokens; }

private:
    using order = std::list<prefix_block>; // the most recently used first

    void drop_oldest(std::vector<prefix_change>& changes);

    std::uint32_t capacity_tokens;
    std::uint32_t tokens = 0;
    order recent;
    std::unordered_map<std::uint64_t, order::iterator> places;
};

} // namespace standin
