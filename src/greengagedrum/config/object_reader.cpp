#include <greengagedrum/config/json_text.hpp>
#include <greengagedrum/config/object_reader.hpp>

#include <algorithm>
#include <limits>

namespace greengagedrum::config
{

namespace
{

using nlohmann::json;

// An empty object stands in for a value that is none.
const json& empty_object()
{
    static const json none = json::object();
    return none;
}

// `where` completed and added; always false.
bool refuse(fault where,
            std::string_view problem,
            std::string bound,
            fault_list& faults)
{
    where.problem = problem;
    where.bound = std::move(bound);
    add_fault(faults, std::move(where));
    return false;
}

bool fits_int64(const json& value)
{
    if (!value.is_number_unsigned())
        return value.is_number_integer();
    constexpr auto most = std::numeric_limits<std::int64_t>::max();
    return value.get<std::uint64_t>() <= static_cast<std::uint64_t>(most);
}

} // namespace

bool is_name(std::string_view text)
{
    constexpr std::string_view others = "._-";
    if (text.empty() || text.size() > name_bytes_max)
        return false;
    return std::all_of(text.begin(), text.end(), [&](char letter) {
        return (letter >= 'a' && letter <= 'z') ||
               (letter >= 'A' && letter <= 'Z') ||
               (letter >= '0' && letter <= '9') ||
               others.find(letter) != std::string_view::npos;
    });
}

bool check_integer(const json& value,
                   integer_bounds bounds,
                   fault where,
                   fault_list& faults)
{
    where.value = shown(value);
    if (!value.is_number_integer())
        return refuse(where, "is not an integer", "", faults);
    if (!fits_int64(value) || value.get<std::int64_t>() > bounds.max)
        return refuse(
            where, "is above the maximum", std::to_string(bounds.max), faults);
    if (value.get<std::int64_t>() < bounds.min)
        return refuse(
            where, "is below the minimum", std::to_string(bounds.min), faults);
    return true;
}

bool check_number(const json& value,
                  number_bounds bounds,
                  fault where,
                  fault_list& faults)
{
    where.value = shown(value);
    if (!value.is_number())
        return refuse(where, "is not a number", "", faults);
    if (value.get<double>() > bounds.max)
        return refuse(
            where, "is above the maximum", shown(json(bounds.max)), faults);
    if (value.get<double>() < bounds.min)
        return refuse(
            where, "is below the minimum", shown(json(bounds.min)), faults);
    return true;
}

object_reader::object_reader(std::string_view document_name,
                             std::string_view at,
                             const json& value,
                             fault_list& found)
    : document(document_name), pointer(at),
      object(value.is_object() ? value : empty_object()), faults(found)
{
    if (!value.is_object())
        add_fault(this->faults,
                  {this->document,
                   this->pointer,
                   shown(value),
                   "is not an object",
                   ""});
}

bool object_reader::has(std::string_view member) const
{
    return this->object.contains(member);
}

const json* object_reader::value(std::string_view member)
{
    this->asked.emplace(member);
    const auto found = this->object.find(member);
    return found == this->object.end() ? nullptr : &*found;
}

const json* object_reader::require(std::string_view member)
{
    const json* found = this->value(member);
    if (found == nullptr)
        this->fail(member, "is missing");
    return found;
}

std::string object_reader::pointer_of(std::string_view member) const
{
    return pointer_to(this->pointer, member);
}

void object_reader::fail(std::string_view member,
                         std::string_view problem,
                         std::string_view bound)
{
    const auto found = this->object.find(member);
    add_fault(this->faults,
              {this->document,
               this->pointer_of(member),
               found == this->object.end() ? "" : shown(*found),
               std::string(problem),
               std::string(bound)});
}

std::int64_t object_reader::take_integer(std::string_view member,
                                         const json& value,
                                         integer_bounds bounds)
{
    const fault where{this->document, this->pointer_of(member), "", "", ""};
    if (!check_integer(value, bounds, where, this->faults))
        return bounds.min;
    return value.get<std::int64_t>();
}

double object_reader::take_number(std::string_view member,
                                  const json& value,
                                  number_bounds bounds)
{
    const fault where{this->document, this->pointer_of(member), "", "", ""};
    if (!check_number(value, bounds, where, this->faults))
        return bounds.min;
    return value.get<double>();
}

std::string object_reader::take_name(std::string_view member, const json& value)
{
    const bool good =
        value.is_string() && is_name(value.get_ref<const std::string&>());
    if (good)
        return value.get<std::string>();
    this->fail(
        member, "is not a name", "(1 to 64 letters, digits, '.', '_' or '-')");
    return "";
}

std::string object_reader::name(std::string_view member)
{
    const json* found = this->require(member);
    return found == nullptr ? "" : this->take_name(member, *found);
}

std::string object_reader::name_or(std::string_view member,
                                   std::string_view fallback)
{
    const json* found = this->value(member);
    if (found == nullptr)
        return std::string(fallback);
    return this->take_name(member, *found);
}

std::int64_t object_reader::integer(std::string_view member,
                                    integer_bounds bounds)
{
    const json* found = this->require(member);
    if (found == nullptr)
        return bounds.min;
    return this->take_integer(member, *found, bounds);
}

std::int64_t object_reader::integer_or(std::string_view member,
                                       integer_bounds bounds,
                                       std::int64_t fallback)
{
    const json* found = this->value(member);
    if (found == nullptr)
        return fallback;
    return this->take_integer(member, *found, bounds);
}

double object_reader::number(std::string_view member, number_bounds bounds)
{
    const json* found = this->require(member);
    if (found == nullptr)
        return bounds.min;
    return this->take_number(member, *found, bounds);
}

double object_reader::number_or(std::string_view member,
                                number_bounds bounds,
                                double fallback)
{
    const json* found = this->value(member);
    if (found == nullptr)
        return fallback;
    return this->take_number(member, *found, bounds);
}

bool object_reader::boolean_or(std::string_view member, bool fallback)
{
    const json* found = this->value(member);
    if (found == nullptr)
        return fallback;
    if (found->is_boolean())
        return found->get<bool>();
    this->fail(member, "is not true or false");
    return fallback;
}

std::string object_reader::text(std::string_view member)
{
    const json* found = this->require(member);
    if (found == nullptr)
        return "";
    if (found->is_string())
        return found->get<std::string>();
    this->fail(member, "is not a string");
    return "";
}

void object_reader::each(std::string_view member, const element& take)
{
    const json* found = this->value(member);
    if (found == nullptr)
        return;
    if (!found->is_array()) {
        this->fail(member, "is not an array");
        return;
    }
    const std::string base = this->pointer_of(member);
    std::size_t index = 0;
    for (const json& item : *found)
        take(item, pointer_to(base, std::to_string(index++)));
}

std::vector<std::string> object_reader::names(std::string_view member)
{
    std::vector<std::string> found;
    this->each(member, [&](const json& value, const std::string& at) {
        if (value.is_string() && is_name(value.get_ref<const std::string&>()))
            found.push_back(value.get<std::string>());
        else
            add_fault(this->faults,
                      {this->document,
                       at,
                       shown(value),
                       "is not a name",
                       "(1 to 64 letters, digits, '.', '_' or '-')"});
    });
    return found;
}

void object_reader::finish()
{
    for (const auto& [member, ignored] : this->object.items()) {
        if (!this->asked.contains(member))
            this->fail(member, "is an unknown member");
    }
}

} // namespace greengagedrum::config
