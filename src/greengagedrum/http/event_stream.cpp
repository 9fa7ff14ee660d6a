#include <greengagedrum/http/event_stream.hpp>

#include <utility>

namespace greengagedrum::http
{

namespace
{

constexpr std::string_view byte_order_mark = "\xEF\xBB\xBF";

} // namespace

event_stream::event_stream(receiver receive, std::size_t limit)
    : on_event(std::move(receive)), bound(limit)
{
}

bool event_stream::feed(std::string_view bytes)
{
    while (!bytes.empty() && this->now == state::reading) {
        if (std::exchange(this->after_return, false) && bytes.front() == '\n') {
            bytes.remove_prefix(1);
            continue;
        }
        const std::size_t end = bytes.find_first_of("\r\n");
        this->add_to_line(bytes.substr(0, end));
        if (end == std::string_view::npos)
            break;
        this->after_return = bytes[end] == '\r';
        bytes.remove_prefix(end + 1);
        this->end_line();
    }
    return this->now == state::reading;
}

void event_stream::add_to_line(std::string_view part)
{
    if (part.size() > this->bound - this->line.size()) {
        this->now = state::too_long;
        this->line.clear();
        return;
    }
    this->line.append(part);
}

void event_stream::end_line()
{
    if (this->now != state::reading)
        return;
    this->take_line(this->line);
    this->line.clear();
}

void event_stream::take_line(std::string_view text)
{
    if (std::exchange(this->first_line, false) &&
        text.starts_with(byte_order_mark))
        text.remove_prefix(byte_order_mark.size());
    if (text.empty()) {
        this->dispatch();
        return;
    }
    if (text.front() == ':') // a comment, often sent to keep a stream open
        return;
    const std::size_t colon = text.find(':');
    if (colon == std::string_view::npos) {
        this->take_field(text, {});
        return;
    }
    std::string_view value = text.substr(colon + 1);
    if (value.starts_with(' '))
        value.remove_prefix(1);
    this->take_field(text.substr(0, colon), value);
}

void event_stream::take_field(std::string_view field, std::string_view value)
{
    if (field == "event") {
        this->name = value;
        return;
    }
    if (field != "data")
        return;
    if (value.size() + 1 > this->bound - this->data.size()) {
        this->now = state::too_long;
        return;
    }
    if (std::exchange(this->has_data, true))
        this->data.push_back('\n');
    this->data.append(value);
}

void event_stream::dispatch()
{
    const bool complete = std::exchange(this->has_data, false);
    if (complete && !this->data.empty() &&
        !this->on_event({this->name, this->data}))
        this->now = state::stopped;
    this->name.clear();
    this->data.clear();
}

} // namespace greengagedrum::http
