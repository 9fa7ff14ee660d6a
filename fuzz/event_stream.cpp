// Server-sent events, in pieces, with a small bound.
//
// However the bytes are split, the same events come; no event's data passes
// the bound, and the reader keeps to its end once it has stopped.
#include <greengagedrum/http/event_stream.hpp>

#include "require.hpp"

#include <string>

namespace
{

using fuzz::require;
using greengagedrum::http::event_stream;
using greengagedrum::http::server_event;

constexpr std::size_t bound = 96;

struct outcome {
    std::vector<std::string> events;
    event_stream::state state = event_stream::state::reading;
};

outcome read(const std::vector<std::string_view>& pieces)
{
    outcome out;
    event_stream reader(
        [&out](const server_event& event) {
            require(!event.data.empty(), "an event has data");
            require(event.data.size() <= bound, "data keeps to the bound");
            out.events.push_back(std::string(event.name) + "\n" +
                                 std::string(event.data));
            return event.data != "stop";
        },
        bound);
    for (const std::string_view piece : pieces) {
        const bool on = reader.feed(piece);
        require(on == (reader.current() == event_stream::state::reading),
                "feed says whether it reads on");
    }
    out.state = reader.current();
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
    require(at_once.events == split.events && at_once.state == split.state,
            "splitting the bytes changes nothing");
    return 0;
}
