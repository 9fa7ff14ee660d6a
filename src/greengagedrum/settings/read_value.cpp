#include <greengagedrum/settings/read_value.hpp>

#include <algorithm>
#include <charconv>

namespace greengagedrum::settings
{

namespace
{

std::optional<std::int64_t>
read_integer(std::string_view text, std::int64_t min, std::int64_t max)
{
    std::int64_t number = 0;
    const char* end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, number);
    if (error != std::errc{} || stop != end)
        return std::nullopt;
    if (number < min || number > max)
        return std::nullopt;
    return number;
}

// ASCII only, whatever the locale says.
bool is_letter_or_digit(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           (c >= '0' && c <= '9');
}

struct read_visitor {
    std::string_view text;

    std::optional<setting_value> operator()(const switch_type&) const
    {
        if (this->text != "true" && this->text != "false")
            return std::nullopt;
        return this->text == "true";
    }
    std::optional<setting_value> operator()(const integer_type& type) const
    {
        return read_integer(this->text, type.min, type.max);
    }
    std::optional<setting_value> operator()(const duration_type& type) const
    {
        const auto count =
            read_integer(this->text, type.min.count(), type.max.count());
        if (!count)
            return std::nullopt;
        return std::chrono::milliseconds(*count);
    }
    std::optional<setting_value> operator()(const ip_address_type&) const
    {
        if (!base::is_ip_address(this->text))
            return std::nullopt;
        return std::string(this->text);
    }
    std::optional<setting_value> operator()(const ip_port_type&) const
    {
        return base::parse_endpoint(this->text);
    }
    std::optional<setting_value> operator()(const ip_port_list_type& type) const
    {
        std::vector<base::ip_endpoint> list;
        std::string_view rest = this->text;
        while (list.size() < type.max_count) {
            const auto comma = rest.find(',');
            auto item = base::parse_endpoint(rest.substr(0, comma));
            if (!item)
                return std::nullopt;
            list.push_back(std::move(*item));
            if (comma == std::string_view::npos)
                return list;
            rest.remove_prefix(comma + 1);
        }
        return std::nullopt;
    }
    std::optional<setting_value> operator()(const name_type& type) const
    {
        if (this->text.empty() || this->text.size() > type.max_length)
            return std::nullopt;
        const auto allowed = [&type](char c) {
            return is_letter_or_digit(c) ||
                   type.characters.find(c) != std::string_view::npos;
        };
        if (!std::all_of(this->text.begin(), this->text.end(), allowed))
            return std::nullopt;
        return std::string(this->text);
    }
    std::optional<setting_value> operator()(const text_type& type) const
    {
        const std::size_t length = this->text.size();
        if (length < type.min_length || length > type.max_length)
            return std::nullopt;
        const auto printable = [](char c) { return c >= ' ' && c <= '~'; };
        if (!std::all_of(this->text.begin(), this->text.end(), printable))
            return std::nullopt;
        return std::string(this->text);
    }
    std::optional<setting_value> operator()(const choice_type& type) const
    {
        const auto& values = type.values;
        if (std::find(values.begin(), values.end(), this->text) == values.end())
            return std::nullopt;
        return std::string(this->text);
    }
};

struct print_visitor {
    std::string operator()(std::monostate) const { return {}; }
    std::string operator()(bool value) const
    {
        return value ? "true" : "false";
    }
    std::string operator()(std::int64_t value) const
    {
        return std::to_string(value);
    }
    std::string operator()(std::chrono::milliseconds value) const
    {
        return std::to_string(value.count());
    }
    std::string operator()(const base::ip_endpoint& value) const
    {
        return base::to_string(value);
    }
    std::string operator()(const std::vector<base::ip_endpoint>& values) const
    {
        std::string text;
        for (const base::ip_endpoint& value : values) {
            if (!text.empty())
                text += ',';
            text += base::to_string(value);
        }
        return text;
    }
    std::string operator()(const std::string& value) const { return value; }
};

} // namespace

std::optional<setting_value> read_value(const setting_type& type,
                                        std::string_view text)
{
    return std::visit(read_visitor{text}, type);
}

std::string to_string(const setting_value& value)
{
    return std::visit(print_visitor{}, value);
}

} // namespace greengagedrum::settings
