#include <greengagedrum/platform/documents.hpp>
#include <greengagedrum/platform/json_numbers.hpp>
#include <greengagedrum/platform/store_calls.hpp>

#include <nlohmann/json.hpp>
#include <openssl/evp.h>

#include <algorithm>
#include <cctype>
#include <stdexcept>
#include <utility>

namespace greengagedrum::platform
{

namespace
{

using json = nlohmann::json;

// Keys hold letters, digits, '/', '-', '.' and '_'; all else is escaped.
std::string query_text(std::string_view text)
{
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string out;
    for (const char letter : text) {
        const auto byte = static_cast<unsigned char>(letter);
        const bool plain = std::isalnum(byte) != 0 || letter == '/' ||
                           letter == '-' || letter == '.' || letter == '_';
        if (plain) {
            out += letter;
            continue;
        }
        out += '%';
        out += digits[byte >> 4U];
        out += digits[byte & 15U];
    }
    return out;
}

// Throws std::invalid_argument for text that isn't padded base64.
std::string bytes_from_base64(const std::string& text)
{
    std::string out(text.size() / 4 * 3, '\0');
    const int size =
        EVP_DecodeBlock(reinterpret_cast<unsigned char*>(out.data()),
                        reinterpret_cast<const unsigned char*>(text.data()),
                        static_cast<int>(text.size()));
    if (size < 0)
        throw std::invalid_argument("no base64");
    // EVP_DecodeBlock counts the padding as bytes.
    const std::string_view tail = std::string_view(text).substr(
        text.size() - std::min<std::size_t>(2, text.size()));
    const auto padding = std::count(tail.begin(), tail.end(), '=');
    out.resize(static_cast<std::size_t>(size - padding));
    return out;
}

// Failure guarded against: another writer's items. Any may hold what is no
// base64, or a megabyte: an answer with one of them is still read, and a
// thousand of them are not kept in memory. Without a value it names nothing.
std::string value_of(std::string_view key, const std::string& text)
{
    const bool wanted =
        key == configuration_key ||
        (!upstream_name(key).empty() && text.size() <= 2 * upstream_bytes_most);
    if (!wanted)
        return {};
    try {
        return bytes_from_base64(text);
    } catch (const std::invalid_argument&) {
        return {};
    }
}

routing::store_item read_item(const json& from)
{
    routing::store_item out;
    out.key = from.at("key").get<std::string>();
    out.revision = bounded_number<std::uint64_t>(from.at("revision"));
    out.removed = from.value("deleted", false);
    if (!out.removed && from.contains("value") && from["value"].is_string())
        out.value =
            value_of(out.key, from["value"].get_ref<const std::string&>());
    return out;
}

// What has no key or no revision can't be told from anything else: left out.
std::optional<routing::store_item> readable_item(const json& from)
{
    try {
        return read_item(from);
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

} // namespace

std::string range_target(std::string_view prefix, std::string_view after)
{
    std::string out = "/kv-range?prefix=" + query_text(prefix);
    if (!after.empty())
        out += "&after=" + query_text(after);
    return out;
}

std::string watch_target(std::string_view prefix,
                         std::uint64_t revision,
                         base::duration wait)
{
    const auto milliseconds =
        std::chrono::duration_cast<std::chrono::milliseconds>(wait);
    return "/kv-watch?prefix=" + query_text(prefix) +
           "&after=" + std::to_string(revision) +
           "&waitMs=" + std::to_string(milliseconds.count());
}

std::optional<store_answer> read_store_answer(std::string_view text)
{
    try {
        const json body = json::parse(text);
        store_answer out;
        out.as_of = bounded_number<std::uint64_t>(body.at("at"));
        out.more = body.value("hasMore", false);
        // A page has "entries", a watch "events".
        const char* list = body.contains("events") ? "events" : "entries";
        for (const json& one : body.at(list)) {
            if (auto item = readable_item(one))
                out.items.push_back(std::move(*item));
        }
        return out;
    } catch (const json::exception&) {
        return std::nullopt; // the caller logs what the store answered
    }
}

} // namespace greengagedrum::platform
