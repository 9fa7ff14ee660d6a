// A digest that is equal for two requests with equal workspace, method, target
// and body, whatever their ids.
#pragma once

#include <greengagedrum/base/ids.hpp>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace greengagedrum::base
{

// The first 128 bits of a SHA-256 hash. A cryptographic hash keeps a caller
// from constructing a request with the digest of another caller's request.
struct request_digest {
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    bool empty() const { return this->high == 0 && this->low == 0; }
    auto operator<=>(const request_digest&) const = default;
};

request_digest digest_of_request(std::string_view workspace,
                                 std::string_view method,
                                 std::string_view target,
                                 std::string_view body);

// The digest of one part of the prompts that a service gets, by the id under
// which callers name the part.
request_digest digest_of_prompt_part(upstream_class_id service,
                                     std::string_view part);

// 32 lower-case hexadecimal digits.
std::string to_hex(const request_digest& value);

} // namespace greengagedrum::base

template <>
struct std::hash<greengagedrum::base::request_digest> {
    std::size_t operator()(const greengagedrum::base::request_digest& one) const
    {
        return static_cast<std::size_t>(one.high);
    }
};
