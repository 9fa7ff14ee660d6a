// What entries tell each other of the versions that began streams.
#pragma once

#include <greengagedrum/base/ids.hpp>

#include <cstdint>
#include <variant>
#include <vector>

namespace greengagedrum::versions
{

// Hash of the request id of the try that brought a stream's first event.
using stream_id = base::name_id<struct stream_tag>;

// An IPv4 address in host byte order.
using entry_address = std::uint32_t;

struct known_entry {
    entry_address address = 0;
    base::data_centre_id data_centre;
};

// The version of the upstream that began the stream.
struct stream_record {
    stream_id stream;
    base::version_id version;
    bool operator==(const stream_record&) const = default;
};

// Asks for the version of a stream. `lookup` is repeated in the answer.
struct question {
    std::uint64_t lookup = 0;
    stream_id stream;
    base::upstream_class_id service;
    bool operator==(const question&) const = default;
};

// The entry that answers has a record of the stream.
struct known_version {
    base::version_id version;
    bool operator==(const known_version&) const = default;
};

// It has none, but has seen a single version of the service for as long as
// records are kept.
struct single_version {
    base::version_id version;
    bool operator==(const single_version&) const = default;
};

struct unknown_version {
    bool operator==(const unknown_version&) const = default;
};

// It has no record, and has seen several versions of the service lately.
struct several_versions {
    bool operator==(const several_versions&) const = default;
};

using finding = std::
    variant<known_version, single_version, unknown_version, several_versions>;

// Empty for the others.
inline base::version_id version_of(const finding& found)
{
    if (const auto* known = std::get_if<known_version>(&found))
        return known->version;
    if (const auto* single = std::get_if<single_version>(&found))
        return single->version;
    return {};
}

struct answer {
    std::uint64_t lookup = 0;
    finding found;
    bool operator==(const answer&) const = default;
};

using record_list = std::vector<stream_record>;
using message = std::variant<record_list, question, answer>;

} // namespace greengagedrum::versions
