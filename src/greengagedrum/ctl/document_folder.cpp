#include <greengagedrum/config/json_text.hpp>
#include <greengagedrum/ctl/document_folder.hpp>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <system_error>

namespace greengagedrum::ctl
{

namespace
{

namespace fs = std::filesystem;

// One byte more than allowed, so that the check sees that it is too long.
bool read_bounded(const fs::path& file, std::string& into)
{
    std::ifstream stream(file, std::ios::binary);
    if (!stream)
        return false;
    into.resize(config::document_bytes_max + 1);
    stream.read(into.data(), static_cast<std::streamsize>(into.size()));
    into.resize(static_cast<std::size_t>(stream.gcount()));
    return !stream.bad();
}

} // namespace

tl::expected<std::vector<config::document>, std::string>
read_documents(const std::string& folder)
{
    std::vector<config::document> documents;
    std::error_code error;
    fs::recursive_directory_iterator place(folder, error);
    for (; !error && place != fs::recursive_directory_iterator();
         place.increment(error)) {
        if (place->path().extension() != ".json")
            continue;
        config::document one;
        one.name = place->path()
                       .lexically_relative(folder)
                       .replace_extension()
                       .generic_string();
        one.revision = 1;
        if (!read_bounded(place->path(), one.body))
            return tl::unexpected("can't read " + place->path().string());
        documents.push_back(std::move(one));
    }
    if (error)
        return tl::unexpected("can't read " + folder + ": " + error.message());
    if (documents.empty())
        return tl::unexpected("no documents in " + folder);
    std::sort(documents.begin(),
              documents.end(),
              [](const auto& left, const auto& right) {
                  return left.name < right.name;
              });
    return documents;
}

} // namespace greengagedrum::ctl
