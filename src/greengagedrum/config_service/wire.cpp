#include <greengagedrum/config_service/wire.hpp>

#include <nlohmann/json.hpp>

#include <initializer_list>
#include <utility>

namespace greengagedrum::config_service
{

namespace
{

using nlohmann::json;

struct wrong_shape {
};

// The library would turn -1 and 1.5 into some number without a word.
std::uint64_t read_revision(const json& value)
{
    const json& found = value.at("revision");
    if (!found.is_number_unsigned())
        throw wrong_shape{};
    return found.get<std::uint64_t>();
}

// An absent list is not an empty one: taken as complete, it would drop all.
const json& read_list(const json& value, const char* name)
{
    const json& found = value.at(name);
    if (!found.is_array())
        throw wrong_shape{};
    return found;
}

config::document read_document(const json& value)
{
    config::document out;
    out.name = value.at("name").get<std::string>();
    out.revision = read_revision(value);
    out.deleted = value.value("deleted", false);
    if (!out.deleted)
        out.body = value.at("body").dump();
    return out;
}

// A name that this version does not know is not taken for another: what is
// "draining" one day must not get new work because it is not "leaving".
template <class Enum>
Enum read_choice(std::string_view text,
                 std::initializer_list<std::pair<std::string_view, Enum>> known)
{
    for (const auto& [name, value] : known) {
        if (name == text)
            return value;
    }
    throw wrong_shape{};
}

membership::listed_instance read_instance(const json& value)
{
    using membership::instance_type;
    using membership::listed_state;
    membership::listed_instance out;
    out.name = value.at("name").get<std::string>();
    out.type =
        read_choice<instance_type>(value.at("type").get<std::string>(),
                                   {{"entry", instance_type::entry},
                                    {"upstream", instance_type::upstream}});
    out.data_centre = value.value("data_centre", "");
    out.address = value.at("address").get<std::string>();
    out.state = read_choice<listed_state>(
        value.value("state", "live"),
        {{"live", listed_state::live}, {"leaving", listed_state::leaving}});
    return out;
}

} // namespace

std::optional<config::document_set> read_documents(std::string_view text)
{
    try {
        const json value = json::parse(text);
        config::document_set out;
        out.revision = read_revision(value);
        out.complete = value.value("complete", false);
        for (const json& document : read_list(value, "documents"))
            out.documents.push_back(read_document(document));
        return out;
    } catch (const json::exception&) {
        return std::nullopt;
    } catch (const wrong_shape&) {
        return std::nullopt;
    }
}

std::optional<membership::instance_list> read_instances(std::string_view text)
{
    try {
        const json value = json::parse(text);
        membership::instance_list out;
        out.revision = read_revision(value);
        for (const json& instance : read_list(value, "instances"))
            out.instances.push_back(read_instance(instance));
        return out;
    } catch (const json::exception&) {
        return std::nullopt;
    } catch (const wrong_shape&) {
        return std::nullopt;
    }
}

} // namespace greengagedrum::config_service
