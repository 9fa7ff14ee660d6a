// Reads published documents from files, for the stand-in of the platform.
#pragma once

#include <nlohmann/json.hpp>
#include <tl/expected.hpp>

#include <filesystem>
#include <string>
#include <vector>

namespace standin
{

struct named_document {
    std::string name; // "fleet", "template/NAME" or "workspace/NAME"
    nlohmann::json body;
};

// The documents of fleet.json, template/NAME.json and workspace/NAME.json, in
// this order; each of the three may be missing. The error names the file.
tl::expected<std::vector<named_document>, std::string>
read_document_folder(const std::filesystem::path& folder);

} // namespace standin
