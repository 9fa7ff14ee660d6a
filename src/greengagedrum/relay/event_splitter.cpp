#include <greengagedrum/relay/event_splitter.hpp>

#include <charconv>
#include <utility>

namespace greengagedrum::relay
{

namespace
{

// One past the empty line that ends the first event; npos: it is not whole.
std::size_t end_of_first(std::string_view text)
{
    std::size_t line = 0;
    while (true) {
        const std::size_t feed = text.find('\n', line);
        if (feed == std::string_view::npos)
            return feed;
        std::size_t length = feed - line;
        if (length > 0 && text[feed - 1] == '\r')
            length -= 1;
        if (length == 0)
            return feed + 1;
        line = feed + 1;
    }
}

std::string id_of(std::string_view bytes)
{
    std::string id;
    while (!bytes.empty()) {
        const std::size_t feed = bytes.find('\n');
        std::string_view line = bytes.substr(0, feed);
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        if (line.starts_with("id:")) {
            line.remove_prefix(3);
            if (line.starts_with(' '))
                line.remove_prefix(1);
            id = line;
        }
        if (feed == std::string_view::npos)
            break;
        bytes.remove_prefix(feed + 1);
    }
    return id;
}

} // namespace

std::optional<whole_event> event_splitter::next()
{
    const std::size_t end = end_of_first(this->pending);
    if (end == std::string::npos)
        return std::nullopt;
    whole_event out{this->pending.substr(0, end), {}};
    out.id = id_of(out.bytes);
    this->pending.erase(0, end);
    return out;
}

std::string event_splitter::take_rest()
{
    return std::exchange(this->pending, {});
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
