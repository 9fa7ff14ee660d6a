#include <greengagedrum/callers/body_bounds.hpp>

#include <httplib.h>

#include <charconv>
#include <cstdint>

namespace greengagedrum::callers
{

namespace
{

// Empty when it is no whole number.
std::optional<std::uint64_t> read_length(const std::string& text)
{
    std::uint64_t value = 0;
    const char* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    if (parsed.ec == std::errc::result_out_of_range)
        return UINT64_MAX;
    if (parsed.ec != std::errc{} || parsed.ptr != end)
        return std::nullopt;
    return value;
}

problem problem_with(http_status status, std::string title)
{
    return problem{status, std::move(title)};
}

std::optional<problem> check_length(const httplib::Request& request,
                                    std::size_t body_bytes_max)
{
    const std::size_t given = request.get_header_value_count("Content-Length");
    if (given == 0 || request.has_header("Transfer-Encoding"))
        return problem_with(http_status::length_required,
                            "a body with Content-Length is expected");
    const auto length = read_length(request.get_header_value("Content-Length"));
    if (given != 1 || !length)
        return problem_with(http_status::bad_request,
                            "Content-Length: one whole number is expected");
    if (*length > body_bytes_max)
        return problem_with(http_status::payload_too_large,
                            "the body is over the bound of " +
                                std::to_string(body_bytes_max) + " bytes");
    return std::nullopt;
}

} // namespace

std::optional<problem> check_body_bounds(const httplib::Request& request,
                                         std::size_t body_bytes_max)
{
    if (request.has_header("Content-Encoding"))
        return problem_with(http_status::unsupported_media_type,
                            "Content-Encoding: a plain body is expected");
    const bool told = request.has_header("Content-Length") ||
                      request.has_header("Transfer-Encoding");
    if (!told && request.method != "POST")
        return std::nullopt;
    return check_length(request, body_bytes_max);
}

} // namespace greengagedrum::callers
