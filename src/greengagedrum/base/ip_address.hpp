// A numeric IP address and a port, written as "IP:port".
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace greengagedrum::base
{

struct ip_endpoint {
    std::string ip; // numeric IPv4 or IPv6, without brackets
    std::uint16_t port = 0;

    auto operator<=>(const ip_endpoint&) const = default;
};

// True for a numeric IPv4 or IPv6 address, false for a host name.
bool is_ip_address(std::string_view text);

// Parses "127.0.0.1:80" or "[::1]:80"; port 0 means "any free port". Nothing
// for other text.
std::optional<ip_endpoint> parse_endpoint(std::string_view text);

// As parse_endpoint(). Invalid text gives 127.0.0.1 with port 0, to which every
// connect is refused at once.
ip_endpoint parse_endpoint_or_unusable(std::string_view text);

std::string to_string(const ip_endpoint& value);

} // namespace greengagedrum::base
