// An engine's stream of tokens, in pieces.
//
// However its bytes are split, the same tokens come in the same order; and an
// answer is whole only after a `done` that counts as many as came.
#include <greengagedrum/upstreams/token_reader.hpp>

#include "require.hpp"

#include <string>

namespace
{

using namespace greengagedrum;
using fuzz::require;

struct outcome {
    upstreams::partial_answer answer;
    std::string received;
    std::uint32_t count = 0;
    bool whole = false;
    bool malformed = false;
};

outcome read(const std::vector<std::string_view>& pieces)
{
    outcome out;
    const upstreams::token_receiver receive = [&out](std::uint32_t index,
                                                     std::string_view text) {
        require(index == out.count, "tokens come in order, each once");
        out.count += 1;
        out.received += text;
    };
    upstreams::token_reader reader(out.answer, receive);
    for (const std::string_view piece : pieces) {
        if (!reader.feed(piece))
            break;
    }
    out.whole = reader.whole();
    out.malformed = reader.malformed();
    return out;
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size)
{
    if (size == 0)
        return 0;
    const std::string_view text = fuzz::text_of(data + 1, size - 1);
    const outcome at_once = read({text});
    const outcome split = read(fuzz::cut(text, *data));
    require(at_once.received == split.received &&
                at_once.whole == split.whole &&
                at_once.malformed == split.malformed &&
                at_once.answer.cached_tokens == split.answer.cached_tokens,
            "splitting the bytes changes nothing");
    require(at_once.received == at_once.answer.text &&
                at_once.count == at_once.answer.tokens,
            "what was told is what is kept");
    require(!(at_once.whole && at_once.malformed),
            "a malformed stream is not whole");
    if (at_once.whole)
        require(text.find("done") != std::string_view::npos ||
                    text.find('\\') != std::string_view::npos,
                "no stream is whole without its end");
    return 0;
}
