#include <greengagedrum/settings/setting.hpp>

namespace greengagedrum::settings
{

namespace
{

// Words for the bounds of each type; ends every fault and the help.
struct bounds_visitor {
    std::string operator()(const switch_type&) const
    {
        return "true or false as a variable, a bare flag as an argument";
    }
    std::string operator()(const integer_type& type) const
    {
        return "an integer, " + std::to_string(type.min) + " to " +
               std::to_string(type.max);
    }
    std::string operator()(const duration_type& type) const
    {
        return "milliseconds, " + std::to_string(type.min.count()) + " to " +
               std::to_string(type.max.count());
    }
    std::string operator()(const ip_address_type&) const
    {
        return "an IP address by number";
    }
    std::string operator()(const ip_port_type&) const
    {
        return "IP:port by number, IPv6 in brackets, port 0 to 65535";
    }
    std::string operator()(const ip_port_list_type& type) const
    {
        return "1 to " + std::to_string(type.max_count) +
               " of IP:port by number, separated by commas";
    }
    std::string operator()(const name_type& type) const
    {
        return "1 to " + std::to_string(type.max_length) +
               " characters: letters, digits and " +
               std::string(type.characters);
    }
    std::string operator()(const text_type& type) const
    {
        return std::to_string(type.min_length) + " to " +
               std::to_string(type.max_length) + " printable ASCII characters";
    }
    std::string operator()(const choice_type& type) const
    {
        std::string words = "one of";
        std::string_view separator = " ";
        for (const std::string_view value : type.values) {
            words.append(separator).append(value);
            separator = ", ";
        }
        return words;
    }
};

} // namespace

std::string variable_name(std::string_view prefix, std::string_view name)
{
    std::string result(prefix);
    for (const char letter : name) {
        const bool lower = letter >= 'a' && letter <= 'z';
        if (letter == '-')
            result += '_';
        else
            result += lower ? static_cast<char>(letter - 'a' + 'A') : letter;
    }
    return result;
}

std::string bounds_text(const setting_type& type)
{
    return std::visit(bounds_visitor{}, type);
}

} // namespace greengagedrum::settings
