// Bytes of an upstream's connection, and the events in its answer: torn in any
// way, they give the same body and the same events.
#include <greengagedrum/relay/event_splitter.hpp>
#include <greengagedrum/relay/message_reader.hpp>

#include "require.hpp"

#include <algorithm>

namespace
{

using namespace greengagedrum;
using fuzz::require;

constexpr std::size_t most_cuts = 256; // bytes, which bounds the time of a run

std::string body_of(std::string_view text, std::size_t piece, bool& done)
{
    relay::answer_reader reader(false);
    std::string inbox;
    std::string body;
    for (std::size_t at = 0; at < text.size() && !reader.done(); at += piece) {
        inbox += text.substr(at, piece);
        const auto taken = reader.feed(inbox);
        if (!taken)
            break;
        inbox.erase(0, *taken);
        body += reader.take_body();
    }
    done = reader.done();
    return body;
}

std::string events_of(std::string_view text, std::size_t piece)
{
    relay::event_splitter splitter;
    std::string out;
    for (std::size_t at = 0; at < text.size(); at += piece) {
        splitter.feed(text.substr(at, piece));
        while (const auto one = splitter.next())
            out += "[" + one->id + "]" + one->bytes;
    }
    return out + "|" + splitter.take_rest();
}

// True when the stream cut after `size` bytes is taken for whole.
bool whole_at(std::string_view text, std::size_t size)
{
    relay::event_splitter splitter;
    splitter.feed(text.substr(0, size));
    while (splitter.next()) {
    }
    return splitter.rest_size() == 0;
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size)
{
    const std::string_view text = fuzz::text_of(data, size);
    bool whole_done = false;
    bool torn_done = false;
    const std::string whole = body_of(text, size + 1, whole_done);
    const std::string torn = body_of(text, 5, torn_done);
    if (whole_done)
        require(torn_done && whole == torn, "torn bytes hold the same answer");
    require(events_of(text, size + 1) == events_of(text, 1),
            "torn bytes hold the same events");
    for (std::size_t cut = 1; cut <= std::min(text.size(), most_cuts); ++cut) {
        const bool line_ended = text[cut - 1] == '\n' || text[cut - 1] == '\r';
        if (!line_ended)
            require(!whole_at(text, cut), "a cut inside a line is no end");
    }
    return 0;
}
