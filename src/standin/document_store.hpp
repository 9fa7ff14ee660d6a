// The platform's documents with their whole history, so that an older state
// can be served as a stale replica would. Takes no lock, reads no clock.
#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace standin
{

struct document_version {
    std::string name;
    std::uint64_t revision = 0;         // of the whole store, from 1
    std::optional<nlohmann::json> body; // none: a tombstone
};

class document_store
{
public:
    static constexpr std::uint64_t newest =
        std::numeric_limits<std::uint64_t>::max();

    // Both give the new revision.
    std::uint64_t put(const std::string& name, nlohmann::json body);
    std::uint64_t erase(const std::string& name);

    std::uint64_t revision() const { return this->last_revision; }

    // Of every document changed after `since`, its last version not younger
    // than `horizon`.
    std::vector<document_version> changes(std::uint64_t since,
                                          std::uint64_t horizon = newest) const;

private:
    std::uint64_t add(const std::string& name,
                      std::optional<nlohmann::json> body);

    std::uint64_t last_revision = 0;
    std::map<std::string, std::vector<document_version>> histories;
};

} // namespace standin
