// The text that a stand-in engine answers with: a pure function of the prompt
// and the token's index, so that a reader can check that an answer is its own
// and whole without asking the engine.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace standin
{

inline constexpr std::uint32_t bytes_per_prompt_token = 4;

// xxHash64 (seed 0) of the prompt.
std::uint64_t prompt_digest(std::string_view prompt);

// Four letters and a space.
std::string token_text(std::uint64_t digest, std::uint32_t index);
std::string token_text(std::string_view prompt, std::uint32_t index);

// The tokens [0, count) joined: a whole answer.
std::string answer_text(std::string_view prompt, std::uint32_t count);

// Four bytes a token, rounded up.
std::uint32_t prompt_tokens(std::string_view prompt);

// VALUE of a closing "[tag:VALUE]", which leaves the prompt's beginning free to
// be shared, or else of a leading one; empty without either.
std::string_view tag_of(std::string_view prompt);

} // namespace standin
