// Refuses a request whose body can't be read within bounds, before any of it
// is read.
//
// Failures guarded against, in httplib 0.11: it bounds only a body that has a
// Content-Length, so chunks without end and unpacked gzip fill the memory; it
// takes a length that is no number for zero, so that the body counts as the
// connection's next request; and it reads a body over the bound to its end.
#pragma once

#include <greengagedrum/callers/problem.hpp>

#include <cstddef>
#include <optional>

namespace httplib
{
struct Request;
}

namespace greengagedrum::callers
{

// Empty when the body may be read. The connection is to be closed otherwise.
std::optional<problem> check_body_bounds(const httplib::Request& request,
                                         std::size_t body_bytes_max);

} // namespace greengagedrum::callers
