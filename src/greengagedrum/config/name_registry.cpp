#include <greengagedrum/base/ids.hpp>
#include <greengagedrum/config/name_registry.hpp>

namespace greengagedrum::config
{

name_registry::outcome name_registry::add(std::string_view name,
                                          std::uint64_t hash)
{
    const auto [entry, added] = this->names.try_emplace(hash, name);
    if (added)
        return outcome::added;
    return entry->second == name ? outcome::duplicate : outcome::collision;
}

name_registry::outcome name_registry::add(std::string_view name)
{
    return this->add(name, base::hash_name(name));
}

std::string_view problem_of(name_registry::outcome outcome)
{
    switch (outcome) {
    case name_registry::outcome::added:
        return "";
    case name_registry::outcome::duplicate:
        return "is given twice";
    case name_registry::outcome::collision:
        return "has the hash of another name; choose another";
    }
    return "";
}

} // namespace greengagedrum::config
