// The head of an HTTP message as text that is ours to keep.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace greengagedrum::relay
{

inline constexpr unsigned status_ok = 200;
inline constexpr unsigned status_redirect = 300; // the first of them

struct header {
    std::string name; // as received
    std::string value;
};

struct request_head {
    std::string method;
    std::string target; // path and query, as received
    unsigned version = 11;
    std::vector<header> headers;
};

struct answer_head {
    unsigned status = 0;
    std::string reason;
    unsigned version = 11;
    std::vector<header> headers;
};

// Header names are compared without regard to case.
bool same_name(std::string_view left, std::string_view right);

// The first value; empty optional when there is none.
std::optional<std::string_view> find_header(const std::vector<header>& in,
                                            std::string_view name);
std::size_t count_headers(const std::vector<header>& in, std::string_view name);

// A content type without its parameters.
std::string_view media_type(std::string_view content_type);

// True when a comma-separated list holds the token.
bool lists_token(std::string_view list, std::string_view token);

// Concerns one connection only, so it is never passed on: a fixed list, and
// what the message's own Connection header names.
bool is_hop_header(const std::vector<header>& in, std::string_view name);

} // namespace greengagedrum::relay
