// Cuts a stream of server-sent events into whole events, whatever pieces it
// comes in, and keeps their bytes as they are. A line ends with a line feed, a
// carriage return or both; an event ends with an empty line. A carriage return
// that may be the first half of a line's end is not yet one.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace greengagedrum::relay
{

struct whole_event {
    std::string bytes; // with its closing empty line
    std::string id;    // empty: it has none
};

class event_splitter
{
public:
    void feed(std::string_view bytes) { this->pending += bytes; }

    // The next whole event, if there is one.
    std::optional<whole_event> next();

    // Bytes after the last whole event.
    std::string take_rest();
    std::size_t rest_size() const { return this->pending.size() - this->begin; }

private:
    std::string_view rest() const
    {
        return std::string_view(this->pending).substr(this->begin);
    }
    // One past the empty line that ends the first event of rest(); npos: it is
    // not whole.
    std::size_t end_of_first();

    // What was taken is dropped once for all events of a piece: each event
    // would else move all that follow.
    std::string pending;
    std::size_t begin = 0; // of what hasn't been taken
    // Within rest(). What was searched is not searched again for each piece: an
    // event without end would take a time that grows with the square of its
    // length.
    std::size_t line_begin = 0;
    std::size_t searched = 0;
    bool lone_returns = false; // the line before `line_begin` ended with one
};

// Ids are decimal numbers that grow; empty for any other text.
std::optional<std::uint64_t> event_number(std::string_view id);

} // namespace greengagedrum::relay
