// The head of an answer of our own.
#include <greengagedrum/relay/caller_connection.hpp>

#include <charconv>

namespace greengagedrum::relay
{

namespace
{

std::string_view phrase(unsigned status)
{
    switch (status) {
    case 400:
        return "Bad Request";
    case 401:
        return "Unauthorized";
    case 404:
        return "Not Found";
    case 408:
        return "Request Timeout";
    case 413:
        return "Payload Too Large";
    case 429:
        return "Too Many Requests";
    case 431:
        return "Request Header Fields Too Large";
    case 502:
        return "Bad Gateway";
    case 503:
        return "Service Unavailable";
    case 504:
        return "Gateway Timeout";
    default:
        return "Error";
    }
}

std::string seconds_text(base::duration value)
{
    std::array<char, 32> text{};
    const double seconds = static_cast<double>(value.count()) / 1e6;
    const auto end = std::to_chars(text.data(),
                                   text.data() + text.size(),
                                   seconds,
                                   std::chars_format::fixed,
                                   2);
    return {text.data(), end.ptr};
}

} // namespace

std::string own_head(const own_answer& what)
{
    std::string head = "HTTP/1.1 " + std::to_string(what.status) + " ";
    head.append(phrase(what.status)).append("\r\n");
    head += "Content-Type: application/json\r\n";
    if (what.retry_after)
        head += "Retry-After: " + seconds_text(*what.retry_after) + "\r\n";
    return head;
}

} // namespace greengagedrum::relay
