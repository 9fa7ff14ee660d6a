#include <greengagedrum/config/json_text.hpp>
#include <greengagedrum/config/object_reader.hpp>
#include <greengagedrum/config/parameter.hpp>

#include <algorithm>
#include <limits>

namespace greengagedrum::config
{

namespace
{

using nlohmann::json;

// Each is tried on every kind that uses the parameter.
constexpr std::size_t values_max = 64;

constexpr integer_bounds any_integer{std::numeric_limits<std::int64_t>::min(),
                                     std::numeric_limits<std::int64_t>::max()};
constexpr number_bounds any_number{std::numeric_limits<double>::lowest(),
                                   std::numeric_limits<double>::max()};

string_parameter parse_string_type(object_reader& reader)
{
    string_parameter type;
    if (!reader.has("values"))
        reader.fail("values", "is missing");
    reader.each("values", [&](const json& value, const std::string&) {
        if (value.is_string())
            type.values.push_back(value.get<std::string>());
        else
            reader.fail("values", "holds what is not a string");
    });
    if (reader.has("values") && type.values.empty())
        reader.fail("values", "is empty");
    if (type.values.size() > values_max) {
        reader.fail("values",
                    "has more elements than the maximum",
                    std::to_string(values_max));
        type.values.clear();
    }
    return type;
}

void parse_type(object_reader& reader, parameter& into)
{
    const std::string type = reader.text("type");
    if (type == "integer") {
        const auto min = reader.integer("min", any_integer);
        into.type = integer_parameter{min, reader.integer("max", any_integer)};
    } else if (type == "number") {
        const auto min = reader.number("min", any_number);
        into.type = number_parameter{min, reader.number("max", any_number)};
    } else if (type == "boolean") {
        into.type = boolean_parameter{};
    } else if (type == "string") {
        into.type = parse_string_type(reader);
    } else if (reader.has("type")) {
        reader.fail(
            "type", "is not one of", "integer, number, boolean, string");
    }
}

std::string joined(const std::vector<std::string>& values)
{
    std::string text;
    for (const std::string& value : values)
        text += (text.empty() ? "" : ", ") + value;
    return text;
}

struct value_check {
    const json& value;
    fault where;
    fault_list& faults;

    bool operator()(const integer_parameter& type)
    {
        return check_integer(
            this->value, {type.min, type.max}, this->where, this->faults);
    }
    bool operator()(const number_parameter& type)
    {
        return check_number(
            this->value, {type.min, type.max}, this->where, this->faults);
    }
    bool operator()(const boolean_parameter&)
    {
        if (this->value.is_boolean())
            return true;
        return this->refuse("is not true or false", "");
    }
    bool operator()(const string_parameter& type)
    {
        const auto& allowed = type.values;
        if (this->value.is_string() &&
            std::find(allowed.begin(), allowed.end(), this->value) !=
                allowed.end())
            return true;
        return this->refuse("is not one of", joined(allowed));
    }

    bool refuse(std::string_view problem, std::string bound)
    {
        this->where.value = shown(this->value);
        this->where.problem = problem;
        this->where.bound = std::move(bound);
        add_fault(this->faults, this->where);
        return false;
    }
};

struct extreme_values {
    std::vector<json> operator()(const integer_parameter& type) const
    {
        return {type.min, type.max};
    }
    std::vector<json> operator()(const number_parameter& type) const
    {
        return {type.min, type.max};
    }
    std::vector<json> operator()(const boolean_parameter&) const
    {
        return {false, true};
    }
    std::vector<json> operator()(const string_parameter& type) const
    {
        return {type.values.begin(), type.values.end()};
    }
};

} // namespace

bool check_value(const parameter& declared,
                 const json& value,
                 const fault& where,
                 fault_list& faults)
{
    return std::visit(value_check{value, where, faults}, declared.type);
}

std::vector<json> extremes(const parameter& declared)
{
    return std::visit(extreme_values{}, declared.type);
}

parameter parse_parameter(std::string_view document,
                          std::string_view pointer,
                          const json& value,
                          fault_list& faults)
{
    const std::size_t before = faults.size();
    object_reader reader(document, pointer, value, faults);
    parameter parsed;
    parsed.name = reader.name("name");
    parse_type(reader, parsed);
    const json* fallback = reader.value("default");
    if (fallback == nullptr)
        reader.fail("default", "is missing");
    else
        parsed.fallback = *fallback;
    reader.finish();
    if (faults.size() != before)
        return parsed;
    const fault where{
        std::string(document), reader.pointer_of("default"), "", "", ""};
    check_value(parsed, parsed.fallback, where, faults);
    return parsed;
}

} // namespace greengagedrum::config
