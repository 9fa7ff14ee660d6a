#include <greengagedrum/config/json_text.hpp>
#include <greengagedrum/config/object_reader.hpp>
#include <greengagedrum/config/workspace_parser.hpp>

#include <charconv>

namespace greengagedrum::config
{

namespace
{

using nlohmann::json;

std::optional<sha256_digest> parse_digest(std::string_view text)
{
    constexpr std::size_t digits = 2;
    constexpr int base_sixteen = 16;
    sha256_digest digest{};
    if (text.size() != digest.size() * digits)
        return std::nullopt;
    for (std::size_t i = 0; i < digest.size(); ++i) {
        const char* first = text.data() + i * digits;
        const char* last = first + digits;
        const auto read = std::from_chars(first, last, digest[i], base_sixteen);
        if (read.ec != std::errc() || read.ptr != last)
            return std::nullopt;
    }
    return digest;
}

sha256_digest read_token(object_reader& reader)
{
    const auto digest = parse_digest(reader.text("token_sha256"));
    if (!digest && reader.has("token_sha256"))
        reader.fail("token_sha256", "is not a SHA-256", "(64 hex digits)");
    return digest.value_or(sha256_digest{});
}

parameter_values read_parameters(object_reader& reader)
{
    const json* found = reader.value("parameters");
    if (found == nullptr)
        return {};
    if (!found->is_object()) {
        reader.fail("parameters", "is not an object");
        return {};
    }
    parameter_values values;
    for (const auto& [name, value] : found->items())
        values.emplace(name, value);
    return values;
}

} // namespace

std::optional<workspace_document> parse_workspace(std::string_view document,
                                                  std::string_view text,
                                                  fault_list& faults)
{
    const std::size_t before = faults.size();
    const auto body = parse_object(document, text, faults);
    if (!body)
        return std::nullopt;
    object_reader reader(document, "", *body, faults);
    workspace_document parsed;
    parsed.name = document.substr(document.find('/') + 1);
    parsed.template_name = reader.name("template");
    parsed.home = reader.name("home");
    parsed.token_digest = read_token(reader);
    parsed.parameters = read_parameters(reader);
    reader.finish();
    if (faults.size() != before)
        return std::nullopt;
    return parsed;
}

} // namespace greengagedrum::config
