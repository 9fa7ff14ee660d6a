#include <greengagedrum/relay/message_head.hpp>

#include <algorithm>
#include <array>

namespace greengagedrum::relay
{

namespace
{

constexpr std::array<std::string_view, 10> hop_headers = {"Connection",
                                                          "Keep-Alive",
                                                          "Proxy-Connection",
                                                          "Proxy-Authenticate",
                                                          "Proxy-Authorization",
                                                          "TE",
                                                          "Trailer",
                                                          "Transfer-Encoding",
                                                          "Upgrade",
                                                          "Expect"};

char lower(char letter)
{
    return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter + 32)
                                          : letter;
}

std::string_view trimmed(std::string_view text)
{
    const std::size_t first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

} // namespace

bool same_name(std::string_view left, std::string_view right)
{
    return std::equal(
        left.begin(),
        left.end(),
        right.begin(),
        right.end(),
        [](char one, char other) { return lower(one) == lower(other); });
}

std::optional<std::string_view> find_header(const std::vector<header>& in,
                                            std::string_view name)
{
    for (const header& one : in) {
        if (same_name(one.name, name))
            return one.value;
    }
    return std::nullopt;
}

std::size_t count_headers(const std::vector<header>& in, std::string_view name)
{
    return static_cast<std::size_t>(
        std::count_if(in.begin(), in.end(), [&](const header& one) {
            return same_name(one.name, name);
        }));
}

std::string_view media_type(std::string_view content_type)
{
    return trimmed(content_type.substr(0, content_type.find(';')));
}

bool lists_token(std::string_view list, std::string_view token)
{
    while (!list.empty()) {
        const std::size_t comma = list.find(',');
        if (same_name(trimmed(list.substr(0, comma)), token))
            return true;
        if (comma == std::string_view::npos)
            return false;
        list.remove_prefix(comma + 1);
    }
    return false;
}

bool is_hop_header(const std::vector<header>& in, std::string_view name)
{
    const bool fixed =
        std::any_of(hop_headers.begin(),
                    hop_headers.end(),
                    [&](std::string_view one) { return same_name(one, name); });
    if (fixed)
        return true;
    return std::any_of(in.begin(), in.end(), [&](const header& one) {
        return same_name(one.name, "Connection") &&
               lists_token(one.value, name);
    });
}

} // namespace greengagedrum::relay
