#include <standin/document_store.hpp>

#include <algorithm>
#include <utility>

namespace standin
{

std::uint64_t document_store::put(const std::string& name, nlohmann::json body)
{
    return this->add(name, std::move(body));
}

std::uint64_t document_store::erase(const std::string& name)
{
    return this->add(name, std::nullopt);
}

std::uint64_t document_store::add(const std::string& name,
                                  std::optional<nlohmann::json> body)
{
    ++this->last_revision;
    this->histories[name].push_back(
        {name, this->last_revision, std::move(body)});
    return this->last_revision;
}

std::vector<document_version>
document_store::changes(std::uint64_t since, std::uint64_t horizon) const
{
    std::vector<document_version> found;
    for (const auto& [name, versions] : this->histories) {
        const auto last = std::find_if(
            versions.rbegin(), versions.rend(), [horizon](const auto& version) {
                return version.revision <= horizon;
            });
        if (last != versions.rend() && last->revision > since)
            found.push_back(*last);
    }
    return found;
}

} // namespace standin
