#include <greengagedrum/config/fleet_parser.hpp>
#include <greengagedrum/config/json_text.hpp>
#include <greengagedrum/config/name_registry.hpp>
#include <greengagedrum/config/object_reader.hpp>

#include <algorithm>
#include <map>

namespace greengagedrum::config
{

namespace
{

using nlohmann::json;

constexpr integer_bounds size_mib_bounds{1, 16'777'216};
constexpr integer_bounds copies_bounds{0, 1000};
constexpr integer_bounds in_flight_bounds{1, 100'000};
constexpr integer_bounds tokens_bounds{1, 1'000'000'000};
constexpr number_bounds rate_bounds{0.001, 1e9}; // tokens a second

template <class Named>
bool names_one(const std::vector<Named>& among, std::string_view name)
{
    return std::any_of(among.begin(), among.end(), [&](const Named& one) {
        return one.name == name;
    });
}

// Parses one fleet; holds what its steps share.
class parsing
{
public:
    parsing(std::string_view document_name, fault_list& found)
        : document(document_name), faults(found)
    {
    }

    fleet run(const json& body)
    {
        object_reader reader(this->document, "", body, this->faults);
        this->need(reader, "data_centres");
        this->need(reader, "upstreams");
        reader.each("data_centres", [this](const json& value, const auto& at) {
            this->read_data_centre(value, at);
        });
        reader.each("models", [this](const json& value, const auto& at) {
            this->read_model(value, at);
        });
        reader.each("upstreams", [this](const json& value, const auto& at) {
            this->read_upstream(value, at);
        });
        reader.finish();
        return std::move(this->parsed);
    }

private:
    void need(object_reader& reader, std::string_view member)
    {
        if (!reader.has(member))
            reader.fail(member, "is missing");
    }

    void read_data_centre(const json& value, const std::string& at)
    {
        object_reader reader(this->document, at, value, this->faults);
        data_centre read;
        read.name = reader.name("name");
        read.id = base::data_centre_id(read.name);
        read.region = reader.name("region");
        this->need(reader, "slots");
        for (const std::string& slot : reader.names("slots")) {
            this->note(this->slots, slot, reader.pointer_of("slots"));
            read.slots.push_back({slot, base::slot_id(slot)});
        }
        reader.finish();
        this->note(this->data_centres, read.name, reader.pointer_of("name"));
        this->parsed.data_centres.push_back(std::move(read));
    }

    void read_model(const json& value, const std::string& at)
    {
        object_reader reader(this->document, at, value, this->faults);
        model_entry read;
        read.name = reader.name("name");
        read.id = base::model_id(read.name);
        read.size_mib = static_cast<std::uint32_t>(
            reader.integer("size_mib", size_mib_bounds));
        read.copies_min = static_cast<std::uint32_t>(
            reader.integer_or("copies_min", copies_bounds, read.copies_min));
        reader.finish();
        this->note(this->models, read.name, reader.pointer_of("name"));
        this->parsed.models.push_back(std::move(read));
    }

    void read_upstream(const json& value, const std::string& at)
    {
        object_reader reader(this->document, at, value, this->faults);
        upstream_entry read;
        read.name = reader.name("name");
        read.id = base::upstream_id(read.name);
        this->read_place(reader, read);
        read.type = this->read_type(reader);
        read.generation = reader.name_or("generation", "");
        read.max_in_flight = static_cast<std::uint32_t>(reader.integer_or(
            "max_in_flight", in_flight_bounds, read.max_in_flight));
        read.checks_fencing = reader.boolean_or("checks_fencing", false);
        if (read.type == upstream_type::engine)
            this->read_engine(reader, read);
        this->read_class(reader, read);
        reader.finish();
        this->note(this->upstreams, read.name, reader.pointer_of("name"));
        this->parsed.upstreams.push_back(std::move(read));
    }

    void read_place(object_reader& reader, upstream_entry& read)
    {
        const std::string place = reader.name("data_centre");
        read.data_centre = base::data_centre_id(place);
        if (!place.empty() && !names_one(this->parsed.data_centres, place))
            reader.fail("data_centre", "is not a data centre of the fleet");
    }

    upstream_type read_type(object_reader& reader)
    {
        const std::string text = reader.text("type");
        if (text == "service")
            return upstream_type::service;
        if (text != "engine" && reader.has("type"))
            reader.fail("type", "is not one of", "engine, service");
        return upstream_type::engine;
    }

    // Members that only a model engine has; on a service they are unknown.
    void read_engine(object_reader& reader, upstream_entry& read)
    {
        read.models = reader.names("models");
        for (std::size_t i = 0; i < read.models.size(); ++i)
            this->check_model(reader, read.models[i], i);
        read.max_tokens_in_flight = static_cast<std::uint32_t>(
            reader.integer_or("max_tokens_in_flight", tokens_bounds, 65536));
        read.prefill_tokens_per_second =
            reader.number("prefill_tokens_per_second", rate_bounds);
        read.decode_tokens_per_second =
            reader.number("decode_tokens_per_second", rate_bounds);
    }

    void check_model(object_reader& reader,
                     const std::string& model,
                     std::size_t index)
    {
        if (names_one(this->parsed.models, model))
            return;
        add_fault(
            this->faults,
            {this->document,
             pointer_to(reader.pointer_of("models"), std::to_string(index)),
             shown(model),
             "is not a model of the fleet",
             ""});
    }

    // Upstreams of one class stand in for each other, so they are of one type.
    void read_class(object_reader& reader, upstream_entry& read)
    {
        const std::string name = reader.name("class");
        read.upstream_class = base::upstream_class_id(name);
        const auto outcome = this->classes.add(name);
        if (outcome == name_registry::outcome::collision)
            reader.fail("class", problem_of(outcome));
        const auto [known, added] = this->class_types.emplace(name, read.type);
        if (!added && known->second != read.type)
            reader.fail("class", "holds engines and services together");
    }

    void note(name_registry& names,
              const std::string& name,
              const std::string& pointer)
    {
        const auto outcome = names.add(name);
        if (outcome == name_registry::outcome::added || name.empty())
            return;
        add_fault(this->faults,
                  {this->document,
                   pointer,
                   shown(name),
                   std::string(problem_of(outcome)),
                   ""});
    }

    std::string document;
    fault_list& faults;
    fleet parsed;
    name_registry data_centres;
    name_registry slots;
    name_registry models;
    name_registry upstreams;
    name_registry classes;
    std::map<std::string, upstream_type> class_types;
};

} // namespace

std::optional<fleet> parse_fleet(std::string_view document,
                                 std::string_view text,
                                 fault_list& faults)
{
    const std::size_t before = faults.size();
    const auto body = parse_object(document, text, faults);
    if (!body)
        return std::nullopt;
    fleet parsed = parsing(document, faults).run(*body);
    if (faults.size() != before)
        return std::nullopt;
    return parsed;
}

} // namespace greengagedrum::config
