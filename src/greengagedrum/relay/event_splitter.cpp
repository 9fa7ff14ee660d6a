#include <greengagedrum/relay/event_splitter.hpp>

#include <charconv>
#include <utility>

namespace greengagedrum::relay
{

namespace
{

constexpr std::string_view byte_order_mark = "\xEF\xBB\xBF";

enum class line_end : std::uint8_t {
    feed,
    return_feed,
    lone_return,
    open_return, // the last byte received: a line feed may follow
};

struct line {
    std::string_view text;
    line_end end = line_end::feed;

    std::size_t size() const
    {
        return this->text.size() + (this->end == line_end::return_feed ? 2 : 1);
    }
};

// The first line, without its end; empty optional where no end was received.
// Its end is searched for at `from`.
std::optional<line> first_line(std::string_view text, std::size_t from = 0)
{
    const std::size_t at = text.find_first_of("\r\n", from);
    if (at == std::string_view::npos)
        return std::nullopt;
    line out{text.substr(0, at)};
    if (text[at] == '\n')
        return out;
    if (at + 1 == text.size())
        out.end = line_end::open_return;
    else if (text[at + 1] == '\n')
        out.end = line_end::return_feed;
    else
        out.end = line_end::lone_return;
    return out;
}

std::string id_of(std::string_view bytes)
{
    std::string id;
    if (bytes.starts_with(byte_order_mark))
        bytes.remove_prefix(byte_order_mark.size());
    while (const auto next = first_line(bytes)) {
        bytes.remove_prefix(next->size());
        std::string_view field = next->text;
        if (!field.starts_with("id:"))
            continue;
        field.remove_prefix(3);
        if (field.starts_with(' '))
            field.remove_prefix(1);
        id = field;
    }
    return id;
}

} // namespace

std::size_t event_splitter::end_of_first()
{
    const std::string_view text = this->rest();
    while (const auto next = first_line(text.substr(this->line_begin),
                                        this->searched - this->line_begin)) {
        this->searched = this->line_begin + next->text.size();
        if (next->text.empty()) {
            // Where the line before ended with a lone carriage return, so does
            // this one; else its line feed belongs to the event.
            if (this->lone_returns && next->end != line_end::feed)
                return this->line_begin + 1;
            if (next->end == line_end::open_return)
                return std::string_view::npos;
            return this->line_begin + next->size();
        }
        if (next->end == line_end::open_return)
            return std::string_view::npos;
        this->lone_returns = next->end == line_end::lone_return;
        this->line_begin += next->size();
        this->searched = this->line_begin;
    }
    this->searched = text.size();
    return std::string_view::npos;
}

std::optional<whole_event> event_splitter::next()
{
    const std::size_t end = this->end_of_first();
    if (end == std::string::npos) {
        this->pending.erase(0, std::exchange(this->begin, 0));
        return std::nullopt;
    }
    whole_event out{std::string(this->rest().substr(0, end)), {}};
    out.id = id_of(out.bytes);
    this->begin += end;
    this->line_begin = this->searched = 0;
    this->lone_returns = false;
    return out;
}

std::string event_splitter::take_rest()
{
    std::string out(this->rest());
    *this = event_splitter();
    return out;
}

std::optional<std::uint64_t> event_number(std::string_view id)
{
    std::uint64_t value = 0;
    const auto read = std::from_chars(id.data(), id.data() + id.size(), value);
    if (id.empty() || read.ec != std::errc() ||
        read.ptr != id.data() + id.size())
        return std::nullopt;
    return value;
}

} // namespace greengagedrum::relay
