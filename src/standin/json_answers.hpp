// Small helpers for the stand-ins' HTTP handlers.
#pragma once

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string_view>

namespace standin
{

inline constexpr int http_bad_request = 400;
inline constexpr int http_not_found = 404;
inline constexpr int http_conflict = 409;
inline constexpr int http_too_many = 429;
inline constexpr int http_unavailable = 503;

void answer_json(httplib::Response& answer, const nlohmann::json& json);
void answer_error(httplib::Response& answer, int status, std::string_view why);

// The body as an object; empty otherwise.
std::optional<nlohmann::json> parse_object(const std::string& body);

// A member of the wanted type; empty otherwise.
std::optional<std::string> text_member(const nlohmann::json& json,
                                       const char* name);
std::optional<std::uint64_t> count_member(const nlohmann::json& json,
                                          const char* name);

// A query parameter; zero when absent, empty when malformed.
std::optional<std::uint64_t> count_param(const httplib::Request& request,
                                         const char* name);

} // namespace standin
