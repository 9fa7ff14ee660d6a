#include <greengagedrum/settings/parsed_settings.hpp>

#include <algorithm>
#include <stdexcept>

namespace greengagedrum::settings
{

std::string_view to_string(origin value)
{
    switch (value) {
    case origin::unset:
        return "not set";
    case origin::fallback:
        return "default";
    case origin::environment:
        return "environment";
    case origin::flag:
        return "flag";
    }
    return "unknown";
}

const parsed_value& parsed_settings::at(std::string_view name) const
{
    const auto named = [name](const parsed_value& value) {
        return value.description->name == name;
    };
    const auto found =
        std::find_if(this->values.begin(), this->values.end(), named);
    if (found == this->values.end())
        throw std::out_of_range("no setting " + std::string(name));
    return *found;
}

} // namespace greengagedrum::settings
