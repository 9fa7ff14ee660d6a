// Documents as the platform publishes them and as peers pass them on.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace greengagedrum::config
{

// One document at one revision. `revision` is the platform's global counter
// at the document's last change, so it orders all changes.
struct document {
    std::string name; // "fleet", "template/NAME" or "workspace/NAME"
    std::uint64_t revision = 0;
    bool deleted = false; // a tombstone: `body` is empty
    std::string body;     // JSON text
};

// What a watch of the platform, or a peer, answers. `complete` is set when
// `documents` holds every document there is up to `revision`.
struct document_set {
    std::uint64_t revision = 0;
    bool complete = false;
    std::vector<document> documents;
};

// Asked of a peer by one that is behind: all newer than `since`.
struct document_request {
    std::uint64_t since = 0;
};

} // namespace greengagedrum::config
