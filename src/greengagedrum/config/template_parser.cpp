#include <greengagedrum/config/json_text.hpp>
#include <greengagedrum/config/kind_parser.hpp>
#include <greengagedrum/config/name_registry.hpp>
#include <greengagedrum/config/object_reader.hpp>
#include <greengagedrum/config/template_parser.hpp>

#include <algorithm>
#include <set>

namespace greengagedrum::config
{

namespace
{

using nlohmann::json;

// Bounds the work of trying every bound of every parameter on every kind.
constexpr std::size_t parameters_max = 128;
constexpr std::size_t kinds_max = 128;

std::string kind_pointer(std::size_t index)
{
    return pointer_to("/kinds", std::to_string(index));
}

// Parses one template; holds what its steps share.
class parsing
{
public:
    parsing(std::string_view document_name, fault_list& found)
        : document(document_name), faults(found)
    {
    }

    request_template run(const json& body)
    {
        object_reader reader(this->document, "", body, this->faults);
        this->parsed.name = this->document.substr(this->document.find('/') + 1);
        this->read_parameters(reader);
        this->read_kinds(reader);
        reader.finish();
        const std::size_t kinds =
            std::min(this->parsed.kinds.size(), kinds_max);
        for (std::size_t i = 0; i < kinds; ++i)
            this->check_kind(i);
        return std::move(this->parsed);
    }

private:
    void read_parameters(object_reader& reader)
    {
        name_registry names;
        reader.each("parameters", [&](const json& value, const auto& at) {
            const std::size_t before = this->faults.size();
            parameter read =
                parse_parameter(this->document, at, value, this->faults);
            if (this->faults.size() != before)
                this->unsound.insert(read.name);
            this->note_name(names, read.name, at);
            this->parsed.parameters.push_back(std::move(read));
        });
        if (this->parsed.parameters.size() > parameters_max)
            reader.fail("parameters",
                        "has more elements than the maximum",
                        std::to_string(parameters_max));
    }

    void read_kinds(object_reader& reader)
    {
        if (!reader.has("kinds"))
            reader.fail("kinds", "is missing");
        reader.each("kinds", [&](const json& value, const std::string&) {
            this->parsed.kinds.push_back(value);
        });
        if (this->parsed.kinds.size() > kinds_max)
            reader.fail("kinds",
                        "has more elements than the maximum",
                        std::to_string(kinds_max));
    }

    void note_name(name_registry& names,
                   const std::string& name,
                   const std::string& at)
    {
        const auto outcome = names.add(name);
        if (outcome == name_registry::outcome::added || name.empty())
            return;
        add_fault(this->faults,
                  {this->document,
                   pointer_to(at, "name"),
                   shown(name),
                   std::string(problem_of(outcome)),
                   ""});
    }

    void check_kind(std::size_t index)
    {
        const json& kind = this->parsed.kinds[index];
        const std::string at = kind_pointer(index);
        const std::size_t before = this->faults.size();
        this->check_uses(kind, at);
        if (this->faults.size() != before || this->uses_unsound(kind))
            return;
        const kind_rules rules = parse_kind(
            this->document, at, fill_in(this->parsed, kind, {}), this->faults);
        this->note_name(this->kind_names, rules.name, at);
        if (this->faults.size() == before)
            this->try_bounds(kind, at);
    }

    // Such a parameter has no value to try; its own fault is reported.
    bool uses_unsound(const json& kind) const
    {
        if (!kind.is_object())
            return false;
        return std::any_of(kind.begin(), kind.end(), [this](const json& value) {
            const auto used = parameter_name(value);
            return used && this->unsound.contains(*used);
        });
    }

    // Every parameter that `kind` uses has to be declared, and well.
    void check_uses(const json& kind, const std::string& at)
    {
        if (!kind.is_object())
            return;
        for (const auto& [member, value] : kind.items()) {
            const auto used = parameter_name(value);
            if (!used)
                continue;
            if (member == "name")
                this->refuse_use(at, member, value, "must be given literally");
            else if (this->parsed.find_parameter(*used) == nullptr)
                this->refuse_use(at, member, value, "names no parameter");
        }
    }

    void refuse_use(const std::string& at,
                    const std::string& member,
                    const json& value,
                    std::string_view problem)
    {
        add_fault(this->faults,
                  {this->document,
                   pointer_to(at, member),
                   shown(value),
                   std::string(problem),
                   ""});
    }

    // A workspace may set a parameter to any value within its bounds, so each
    // of them has to make a good kind.
    void try_bounds(const json& kind, const std::string& at)
    {
        for (const auto& [member, value] : kind.items()) {
            const auto used = parameter_name(value);
            if (!used)
                continue;
            const parameter* declared = this->parsed.find_parameter(*used);
            for (const json& extreme : extremes(*declared)) {
                const parameter_values values{{*used, extreme}};
                parse_kind(this->document,
                           at,
                           fill_in(this->parsed, kind, values),
                           this->faults);
            }
        }
    }

    std::string document;
    fault_list& faults;
    request_template parsed;
    name_registry kind_names;
    std::set<std::string> unsound; // parameters with a fault of their own
};

} // namespace

const parameter* request_template::find_parameter(std::string_view wanted) const
{
    for (const parameter& declared : this->parameters) {
        if (declared.name == wanted)
            return &declared;
    }
    return nullptr;
}

std::optional<std::string> parameter_name(const json& value)
{
    if (!value.is_object() || value.size() != 1)
        return std::nullopt;
    const auto found = value.find("parameter");
    if (found == value.end() || !found->is_string())
        return std::nullopt;
    return found->get<std::string>();
}

json fill_in(const request_template& from,
             const json& kind,
             const parameter_values& values)
{
    json filled = kind;
    if (!filled.is_object())
        return filled;
    for (auto& [member, value] : filled.items()) {
        const auto used = parameter_name(value);
        if (!used)
            continue;
        const auto set = values.find(*used);
        const parameter* declared = from.find_parameter(*used);
        if (set != values.end())
            value = set->second;
        else if (declared != nullptr)
            value = declared->fallback;
    }
    return filled;
}

std::optional<request_template> parse_template(std::string_view document,
                                               std::string_view text,
                                               fault_list& faults)
{
    const std::size_t before = faults.size();
    const auto body = parse_object(document, text, faults);
    if (!body)
        return std::nullopt;
    request_template parsed = parsing(document, faults).run(*body);
    if (faults.size() != before)
        return std::nullopt;
    return parsed;
}

} // namespace greengagedrum::config
