#include <standin/json_answers.hpp>

#include <charconv>

namespace standin
{

void answer_json(httplib::Response& answer, const nlohmann::json& json)
{
    answer.set_content(json.dump(), "application/json");
}

void answer_error(httplib::Response& answer, int status, std::string_view why)
{
    answer.status = status;
    const nlohmann::json problem = {{"title", why}, {"status", status}};
    answer.set_content(problem.dump(), "application/problem+json");
}

std::optional<nlohmann::json> parse_object(const std::string& body)
{
    nlohmann::json json = nlohmann::json::parse(body, nullptr, false);
    if (!json.is_object())
        return std::nullopt;
    return json;
}

std::optional<std::string> text_member(const nlohmann::json& json,
                                       const char* name)
{
    const auto found = json.find(name);
    if (found == json.end() || !found->is_string())
        return std::nullopt;
    return found->get<std::string>();
}

std::optional<std::uint64_t> count_member(const nlohmann::json& json,
                                          const char* name)
{
    const auto found = json.find(name);
    if (found == json.end() || !found->is_number_unsigned())
        return std::nullopt;
    return found->get<std::uint64_t>();
}

std::optional<std::uint64_t> count_param(const httplib::Request& request,
                                         const char* name)
{
    if (!request.has_param(name))
        return 0;
    const std::string text = request.get_param_value(name);
    std::uint64_t value = 0;
    const char* end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, value);
    if (error != std::errc{} || stop != end)
        return std::nullopt;
    return value;
}

} // namespace standin
