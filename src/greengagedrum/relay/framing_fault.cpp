#include <greengagedrum/relay/framing_fault.hpp>

namespace greengagedrum::relay
{

namespace
{

bool is_number(std::string_view text)
{
    return !text.empty() &&
           text.find_first_not_of("0123456789") == std::string_view::npos;
}

} // namespace

std::string framing_fault(const request_head& head)
{
    const std::size_t lengths = count_headers(head.headers, "Content-Length");
    const std::size_t codings =
        count_headers(head.headers, "Transfer-Encoding");
    if (lengths + codings > 1)
        return "more than one length";
    if (codings == 1) {
        const auto coding = find_header(head.headers, "Transfer-Encoding");
        if (!same_name(*coding, "chunked") || head.version < 11)
            return "a transfer coding other than chunked";
    }
    if (lengths == 1 &&
        !is_number(*find_header(head.headers, "Content-Length")))
        return "a length that is no number";
    const std::size_t hosts = count_headers(head.headers, "Host");
    if (hosts > 1 || (hosts == 0 && head.version >= 11))
        return "one host is needed";
    if (head.target.empty() || head.target.front() != '/')
        return "a target that is no path";
    return {};
}

std::string framing_fault(const answer_head& head)
{
    constexpr unsigned first_status = 100;
    constexpr unsigned last_status = 599;
    if (head.status < first_status || head.status > last_status)
        return "a status that is none";
    const std::size_t codings =
        count_headers(head.headers, "Transfer-Encoding");
    if (codings == 0)
        return {};
    if (codings > 1 ||
        !same_name(*find_header(head.headers, "Transfer-Encoding"), "chunked"))
        return "a transfer coding other than chunked";
    return {};
}

} // namespace greengagedrum::relay
