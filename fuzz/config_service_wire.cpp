// The platform's answers. What is taken has the documented shape in full: a
// part of a list, taken for the whole, would drop upstreams or documents.
#include <greengagedrum/config_service/wire.hpp>

#include "require.hpp"
#include <nlohmann/json.hpp>

namespace
{

using namespace greengagedrum;
using fuzz::require;
using nlohmann::json;

// The JSON library takes -1 for equal to the highest unsigned number.
void check_revision(const json& text, std::uint64_t taken)
{
    const json& sent = text.at("revision");
    require(sent.is_number_unsigned() && sent == json(taken),
            "a revision is the one that was sent");
}

void check_documents(const config::document_set& taken, const json& text)
{
    const json& list = text.at("documents");
    require(list.is_array(), "documents come as a list");
    require(list.size() == taken.documents.size(), "no document is left out");
    check_revision(text, taken.revision);
    for (std::size_t at = 0; at < list.size(); ++at) {
        const config::document& one = taken.documents[at];
        require(list[at].at("name") == one.name, "in order");
        check_revision(list[at], one.revision);
        require(one.deleted ? one.body.empty()
                            : json::parse(one.body) == list[at].at("body"),
                "a body is the one that was sent");
    }
}

void check_instances(const membership::instance_list& taken, const json& text)
{
    const json& list = text.at("instances");
    require(list.is_array(), "instances come as a list");
    require(list.size() == taken.instances.size(), "no instance is left out");
    check_revision(text, taken.revision);
    for (std::size_t at = 0; at < list.size(); ++at) {
        const membership::listed_instance& one = taken.instances[at];
        const bool entry = one.type == membership::instance_type::entry;
        const bool live = one.state == membership::listed_state::live;
        require(list[at].at("type") == (entry ? "entry" : "upstream"),
                "an unknown type is not taken for another");
        require(list[at].value("state", "live") == (live ? "live" : "leaving"),
                "an unknown state is not taken for live");
    }
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size)
{
    const std::string_view text = fuzz::text_of(data, size);
    const auto documents = config_service::read_documents(text);
    const auto instances = config_service::read_instances(text);
    const json parsed = json::parse(text, nullptr, false);
    require(!parsed.is_discarded() || (!documents && !instances),
            "what is no JSON is not taken");
    if (documents)
        check_documents(*documents, parsed);
    if (instances)
        check_instances(*instances, parsed);
    return 0;
}
