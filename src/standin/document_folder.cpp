#include <standin/document_folder.hpp>

#include <algorithm>
#include <fstream>

namespace standin
{

namespace
{

using std::filesystem::path;
using folder_result = tl::expected<std::vector<named_document>, std::string>;

// The .json files of a folder by name; none when there is no such folder.
std::vector<path> json_files(const path& folder)
{
    std::vector<path> files;
    std::error_code missing;
    for (const auto& entry :
         std::filesystem::directory_iterator(folder, missing))
        if (entry.path().extension() == ".json")
            files.push_back(entry.path());
    std::ranges::sort(files);
    return files;
}

} // namespace

folder_result read_document_folder(const path& folder)
{
    if (!std::filesystem::is_directory(folder))
        return tl::unexpected(folder.string() + ": no such folder");
    std::vector<path> files;
    if (std::filesystem::exists(folder / "fleet.json"))
        files.push_back(folder / "fleet.json");
    for (const char* type : {"template", "workspace"})
        std::ranges::copy(json_files(folder / type), std::back_inserter(files));
    std::vector<named_document> documents;
    for (const path& file : files) {
        std::ifstream input(file);
        auto body = nlohmann::json::parse(input, nullptr, false);
        if (!body.is_object())
            return tl::unexpected(file.string() + ": not a JSON object");
        path name = std::filesystem::relative(file, folder);
        name.replace_extension();
        documents.push_back({name.generic_string(), std::move(body)});
    }
    return documents;
}

} // namespace standin
