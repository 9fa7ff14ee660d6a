#include <standin/token_text.hpp>

#include <xxhash.h>

namespace standin
{

namespace
{

// The finalizer of splitmix64: spreads near inputs over all 64 bits.
std::uint64_t mix(std::uint64_t value)
{
    value += 0x9e3779b97f4a7c15U;
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9U;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebU;
    return value ^ (value >> 31U);
}

constexpr std::uint64_t letters = 26;
constexpr int letters_per_token = 4;
constexpr std::string_view tag_start = "[tag:";

} // namespace

std::uint64_t prompt_digest(std::string_view prompt)
{
    return XXH64(prompt.data(), prompt.size(), 0);
}

std::string token_text(std::uint64_t digest, std::uint32_t index)
{
    std::uint64_t bits = mix(digest ^ mix(index));
    std::string text;
    for (int i = 0; i < letters_per_token; ++i) {
        text.push_back(static_cast<char>('a' + bits % letters));
        bits /= letters;
    }
    text.push_back(' ');
    return text;
}

std::string token_text(std::string_view prompt, std::uint32_t index)
{
    return token_text(prompt_digest(prompt), index);
}

std::string answer_text(std::string_view prompt, std::uint32_t count)
{
    const std::uint64_t digest = prompt_digest(prompt);
    std::string text;
    for (std::uint32_t index = 0; index < count; ++index)
        text += token_text(digest, index);
    return text;
}

std::uint32_t prompt_tokens(std::string_view prompt)
{
    return static_cast<std::uint32_t>(
        (prompt.size() + bytes_per_prompt_token - 1) / bytes_per_prompt_token);
}

std::string_view tag_of(std::string_view prompt)
{
    const std::size_t last = prompt.rfind(tag_start);
    if (last == std::string_view::npos)
        return {};
    const bool closing = prompt.find(']', last) == prompt.size() - 1;
    if (!closing && !prompt.starts_with(tag_start))
        return {};
    const std::size_t value = (closing ? last : 0) + tag_start.size();
    const std::size_t end = prompt.find(']', value);
    if (end == std::string_view::npos)
        return {};
    return prompt.substr(value, end - value);
}

} // namespace standin
