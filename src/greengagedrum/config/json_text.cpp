#include <greengagedrum/config/json_text.hpp>

#include <set>
#include <string>
#include <vector>

namespace greengagedrum::config
{

namespace
{

using nlohmann::json;

// Watches the parser for what the finished value no longer shows.
struct parse_watch {
    std::vector<std::set<std::string>> members; // of each open object
    std::vector<std::string> repeated;
    bool too_deep = false;

    bool operator()(int depth, json::parse_event_t event, json& value)
    {
        this->too_deep = this->too_deep || depth > document_depth_max;
        if (event == json::parse_event_t::object_start)
            this->members.emplace_back();
        if (event == json::parse_event_t::object_end && !this->members.empty())
            this->members.pop_back();
        if (event == json::parse_event_t::key && !this->members.empty())
            this->take_key(value.get<std::string>());
        return true;
    }

    void take_key(const std::string& key)
    {
        if (!this->members.back().insert(key).second)
            this->repeated.push_back(key);
    }
};

} // namespace

std::optional<json> parse_object(std::string_view document,
                                 std::string_view text,
                                 fault_list& faults)
{
    const std::string name(document);
    if (text.size() > document_bytes_max) {
        add_fault(faults,
                  {name,
                   "",
                   std::to_string(text.size()) + " bytes",
                   "is above the maximum",
                   std::to_string(document_bytes_max)});
        return std::nullopt;
    }
    parse_watch watch;
    json value = json::parse(text, std::ref(watch), false);
    if (value.is_discarded() || !value.is_object()) {
        add_fault(faults, {name, "", "", "is not a JSON object", ""});
        return std::nullopt;
    }
    if (watch.too_deep) {
        add_fault(faults,
                  {name,
                   "",
                   "",
                   "is nested deeper than the maximum",
                   std::to_string(document_depth_max)});
        return std::nullopt;
    }
    for (const std::string& key : watch.repeated)
        add_fault(faults, {name, "", shown(key), "is given twice", ""});
    if (!watch.repeated.empty())
        return std::nullopt;
    return value;
}

std::string shown(const json& value)
{
    constexpr std::size_t shown_bytes = 80;
    std::string text =
        value.dump(-1, ' ', true, json::error_handler_t::replace);
    if (text.size() > shown_bytes)
        text = text.substr(0, shown_bytes) + "...";
    return text;
}

} // namespace greengagedrum::config
