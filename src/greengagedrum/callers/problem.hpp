// Errors towards callers, as application/problem+json with a verdict.
#pragma once

#include <greengagedrum/base/verdict.hpp>

#include <string>
#include <string_view>

namespace httplib
{
struct Response;
}

namespace greengagedrum::callers
{

enum class http_status : int {
    ok = 200,
    created = 201,
    bad_request = 400,
    unauthorized = 401,
    not_found = 404,
    method_not_allowed = 405,
    conflict = 409,
    length_required = 411,
    payload_too_large = 413,
    uri_too_long = 414,
    unsupported_media_type = 415,
    internal_error = 500,
    bad_gateway = 502,
    unavailable = 503,
    gateway_timeout = 504
};

// A request that was turned away by the edge, before any decision.
struct problem {
    http_status status = http_status::bad_request;
    std::string title; // for a person; names the field and its bound
};

void write_problem(const problem& what, httplib::Response& response);
void write_verdict(const base::verdict& what, httplib::Response& response);

// 503 for not_run, 502 or 504 for may_have_run, 409 for a key in conflict.
http_status status_of(const base::verdict& what);

} // namespace greengagedrum::callers
