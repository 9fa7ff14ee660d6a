#include <greengagedrum/base/ip_address.hpp>

#include <arpa/inet.h>

#include <charconv>

namespace greengagedrum::base
{

namespace
{

bool is_family(int family, std::string_view text)
{
    in6_addr room{};
    return ::inet_pton(family, std::string(text).c_str(), &room) == 1;
}

// Splits at the last colon and removes the brackets of an IPv6 address.
bool split(std::string_view text,
           std::string_view& host,
           std::string_view& port)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return false;
    host = text.substr(0, colon);
    port = text.substr(colon + 1);
    if (!host.starts_with('['))
        return is_family(AF_INET, host);
    if (!host.ends_with(']') || host.size() < 3)
        return false;
    host = host.substr(1, host.size() - 2);
    return is_family(AF_INET6, host);
}

} // namespace

bool is_ip_address(std::string_view text)
{
    return is_family(AF_INET, text) || is_family(AF_INET6, text);
}

std::optional<ip_endpoint> parse_endpoint(std::string_view text)
{
    std::string_view host;
    std::string_view port;
    if (!split(text, host, port))
        return std::nullopt;
    ip_endpoint result{std::string(host), 0};
    const char* end = port.data() + port.size();
    const auto [stop, error] = std::from_chars(port.data(), end, result.port);
    if (error != std::errc{} || stop != end)
        return std::nullopt;
    return result;
}

ip_endpoint parse_endpoint_or_unusable(std::string_view text)
{
    return parse_endpoint(text).value_or(ip_endpoint{"127.0.0.1", 0});
}

std::string to_string(const ip_endpoint& value)
{
    const bool six = value.ip.find(':') != std::string::npos;
    const std::string host = six ? "[" + value.ip + "]" : value.ip;
    return host + ":" + std::to_string(value.port);
}

} // namespace greengagedrum::base
