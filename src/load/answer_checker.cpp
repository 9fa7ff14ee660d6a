#include <greengagedrum/base/digest.hpp>
#include <load/answer_checker.hpp>
#include <load/answer_reader.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace load
{

namespace
{

void add(answer& received, fault found)
{
    if (std::ranges::count(received.faults, found) == 0)
        received.faults.push_back(found);
}

// True when `text` is the start of the expected text: a cut answer that is
// the caller's own.
bool is_own(const question& asked,
            const expected_text& expected,
            std::string_view text)
{
    for (std::uint32_t index = 0; index < asked.max_tokens; ++index) {
        if (text.empty())
            return true;
        const std::string token = expected(asked.prompt, index);
        const std::size_t shared = std::min(token.size(), text.size());
        if (text.substr(0, shared) != std::string_view(token).substr(0, shared))
            return false;
        text.remove_prefix(shared);
    }
    return text.empty();
}

bool fits(const nlohmann::json& data,
          const char* member,
          const std::string& own)
{
    return !data.contains(member) || data[member] == own;
}

// A service that tells whose answer it is must tell ours: by the tag, or as
// the stand-in does by the digest of the body that it was handed.
bool is_own_service(const question& asked, const std::string& text)
{
    const auto data = nlohmann::json::parse(text, nullptr, false);
    if (!data.is_object())
        return true; // not whole, which the reader has found
    return fits(data, "tag", asked.tag) &&
           fits(data, "digest", greengagedrum::base::digest_of(body_of(asked)));
}

} // namespace

void check_answer(const question& asked,
                  const expected_text& expected,
                  answer& received)
{
    if (received.status != 200)
        return;
    if (asked.sort->service) {
        if (!is_own_service(asked, received.text))
            add(received, fault::not_own);
        return;
    }
    const bool cut = received.tokens != asked.max_tokens;
    if (received.how == ending::answered && cut)
        add(received, fault::not_whole);
    if (expected && !is_own(asked, expected, received.text))
        add(received, fault::not_own);
}

} // namespace load
