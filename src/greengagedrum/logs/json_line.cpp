#include <greengagedrum/logs/json_line.hpp>

#include <nlohmann/json.hpp>

#include <array>
#include <cstdio>
#include <ctime>

namespace greengagedrum::logs
{

namespace
{

// Bounds the head's own text, so that a line without fields always fits even
// when each byte is escaped to six.
constexpr std::size_t head_text_max = 256;

using json = nlohmann::ordered_json;

json head_json(const line_head& head)
{
    json line;
    line["time"] = rfc3339(head.time);
    line["level"] = to_string(head.level);
    line["duty"] = head.duty.substr(0, head_text_max);
    line["event"] = head.event.substr(0, head_text_max);
    return line;
}

std::string dump(const json& line)
{
    return line.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace

std::string json_line(const line_head& head, std::span<const field> fields)
{
    json line = head_json(head);
    for (const field& each : fields) {
        std::visit(
            [&line, &each](const auto& value) {
                line.emplace(std::string(each.name), value);
            },
            each.value);
    }
    std::string text = dump(line);
    if (text.size() <= line_bytes_max)
        return text;
    line = head_json(head);
    line["fields_dropped"] = fields.size();
    return dump(line);
}

std::string rfc3339(std::chrono::system_clock::time_point time)
{
    const auto whole = std::chrono::floor<std::chrono::seconds>(time);
    const auto rest =
        std::chrono::duration_cast<std::chrono::milliseconds>(time - whole);
    const std::time_t seconds = std::chrono::system_clock::to_time_t(whole);
    std::tm parts{};
    ::gmtime_r(&seconds, &parts);
    std::array<char, 32> text{};
    std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    std::array<char, 8> fraction{};
    std::snprintf(fraction.data(),
                  fraction.size(),
                  ".%03dZ",
                  static_cast<int>(rest.count() % 1000));
    return std::string(text.data()) + fraction.data();
}

} // namespace greengagedrum::logs
