// Reads a stream of server-sent events as its bytes come in.
//
// Used on both sides of an entry: for the streams of upstreams and, by the
// load tool, for those of callers. The format is that of the HTML standard
// (lines end in LF, CR LF or CR; `data` lines are joined by LF; an event
// without data is no event). `id` and `retry` are ignored: streams here are
// resumed by their own index, not by Last-Event-ID.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace greengagedrum::http
{

// Valid only while its receiver runs.
struct server_event {
    std::string_view name; // empty when the event has no `event` line
    std::string_view data; // never empty; lines joined by LF
};

// An incremental reader: bytes in, events out. It is not a connection: it
// knows neither when a stream ends nor whether it ended whole. What is still
// unfinished when the bytes end is no event and must not be taken for one.
//
// A peer that never ends a line (or an event) would fill the memory; the bound
// on both makes `feed` fail for good instead.
class event_stream
{
public:
    // False stops the reader: the remaining bytes are not looked at.
    using receiver = std::function<bool(const server_event&)>;

    enum class state : std::uint8_t {
        reading,
        stopped,  // the receiver said so
        too_long, // a line or an event's data passed the bound
    };

    static constexpr std::size_t default_bound = 1U << 20U; // bytes

    explicit event_stream(receiver on_event, std::size_t limit = default_bound);

    // Calls the receiver for every event that these bytes complete. False once
    // the state is no longer `reading`; then further bytes are ignored.
    bool feed(std::string_view bytes);

    state current() const { return this->now; }

private:
    void take_line(std::string_view line);
    void take_field(std::string_view field, std::string_view value);
    void dispatch();
    void add_to_line(std::string_view part);
    void end_line();

    receiver on_event;
    std::size_t bound;
    state now = state::reading;
    bool after_return = false; // an LF that follows belongs to a CR
    bool first_line = true;    // may begin with a byte order mark
    std::string line;          // bytes of a line whose end is yet to come
    std::string name;
    std::string data;
    bool has_data = false;
};

} // namespace greengagedrum::http
