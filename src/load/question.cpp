#include <load/question.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cstdio>

namespace load
{

namespace
{

// As much as entries and engines know a prefix by.
constexpr std::size_t shared_prefix_bytes = 1024;

// Words of one prefix: the same for all prompts that share it.
std::string filler(std::uint64_t start, std::size_t bytes)
{
    constexpr std::array<std::string_view, 8> words = {"survey ",
                                                       "zoning ",
                                                       "ledger ",
                                                       "parcel ",
                                                       "review ",
                                                       "permit ",
                                                       "photo ",
                                                       "notice "};
    std::string text;
    text.reserve(bytes + words.front().size());
    std::uint64_t state = start * 2 + 1;
    while (text.size() < bytes) {
        state = state * 6364136223846793005U + 1442695040888963407U;
        text += words[state >> 61U];
    }
    text.resize(bytes);
    return text;
}

// The beginning is shared by all prompts of one prefix, the part by all of one
// class; the rest is this request's own.
std::string
text_of(const arrival& coming, const std::string& part, std::size_t bytes)
{
    const std::size_t shared = std::min(bytes, shared_prefix_bytes);
    const std::size_t own = bytes - shared;
    return filler(coming.prefix, shared) + part +
           filler(coming.draw, own - std::min(own, part.size()));
}

} // namespace

std::string make_uuid7(std::uint64_t unix_ms, std::uint64_t random)
{
    constexpr std::uint64_t variant = 0x8000U;
    const std::uint64_t a = random & 0x0fffU;
    const std::uint64_t b = ((random >> 12U) & 0x3fffU) | variant;
    const std::uint64_t c = random * 0x9e3779b97f4a7c15U >> 16U;
    std::array<char, 40> text{};
    std::snprintf(
        text.data(),
        text.size(),
        "%08llx-%04llx-7%03llx-%04llx-%012llx",
        static_cast<unsigned long long>((unix_ms >> 16U) & 0xffffffff),
        static_cast<unsigned long long>(unix_ms & 0xffffU),
        static_cast<unsigned long long>(a),
        static_cast<unsigned long long>(b),
        static_cast<unsigned long long>(c));
    return text.data();
}

question make_question(const plan& planned,
                       const arrival& coming,
                       std::string_view run,
                       std::uint64_t unix_ms)
{
    const traffic_class& sort = planned.classes[coming.sort];
    question asked;
    asked.sort = &sort;
    asked.tag = std::string(run) + "-" + std::to_string(coming.number);
    const std::string mark = " [tag:" + asked.tag + "]";
    if (mark.size() < coming.prompt_bytes)
        asked.prompt = text_of(
            coming, sort.prompt_part, coming.prompt_bytes - mark.size());
    asked.prompt += mark;
    asked.key = make_uuid7(unix_ms, coming.draw);
    asked.max_tokens = coming.max_tokens;
    return asked;
}

std::string body_of(const question& asked)
{
    nlohmann::json body{{"prompt", asked.prompt}};
    if (asked.sort->service) {
        body["tag"] = asked.tag;
        return body.dump();
    }
    body["max_tokens"] = asked.max_tokens;
    body["stream"] = asked.sort->stream;
    return body.dump();
}

} // namespace load
