#include <greengagedrum/base/digest.hpp>
#include <greengagedrum/trace/codec.hpp>
#include <greengagedrum/trace/json_codec.hpp>

#include <algorithm>
#include <charconv>

namespace greengagedrum::trace
{

namespace
{

constexpr int base_16 = 16;

template <class Variant>
json write_line(const Variant& what, const char* member)
{
    return std::visit(
        [&](const auto& one) {
            using message = std::decay_t<decltype(one)>;
            json out = write_fields(one);
            out[member] = std::string(name_of<message>);
            return out;
        },
        what);
}

template <class One, class Variant>
bool read_line_if(const json& line, const json& name, Variant& into)
{
    if (name != name_of<One>)
        return false;
    json members = line;
    for (const char* other : {"event", "action", "at_us", "at_ms"})
        members.erase(other);
    One value;
    read_fields(members, value);
    into = std::move(value);
    return true;
}

template <class... Each>
void read_line(const json& line,
               const char* member,
               std::variant<Each...>& into)
{
    const json& name = line.at(member);
    if (!(read_line_if<Each>(line, name, into) || ...))
        throw bad_line(std::string("unknown ") + member + ": " + name.dump());
}

template <class Value, class Reader>
read_result<Value> guarded(Reader reader)
{
    try {
        Value out{};
        reader(out);
        return out;
    } catch (const bad_line& fault) {
        return tl::unexpected(std::string(fault.what()));
    } catch (const json::exception& fault) {
        return tl::unexpected(std::string(fault.what()));
    }
}

} // namespace

json body_digest(std::string_view body)
{
    return {{"length", body.size()}, {"digest", base::digest_of(body)}};
}

std::string made_up_body(const json& from)
{
    std::size_t length = 0;
    read(from.at("length"), length);
    if (length > made_up_bytes_max)
        throw bad_line("length: too long for an answer");
    std::string out = from.value("digest", std::string("-"));
    if (out.empty())
        throw bad_line("digest: must not be empty");
    const std::string unit = out;
    while (out.size() < length)
        out += unit;
    out.resize(length);
    return out;
}

std::string hex_id(std::uint64_t value)
{
    return value == 0 ? std::string() : "#" + base::to_hex(value);
}

std::uint64_t read_id(const json& from)
{
    const auto& text = from.get_ref<const std::string&>();
    if (text.empty())
        return 0;
    if (text.front() != '#')
        return base::hash_name(text);
    std::uint64_t out = 0;
    const char* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + 1, end, out, base_16);
    if (parsed.ec != std::errc{} || parsed.ptr != end)
        throw bad_line("no id: " + text);
    return out;
}

json write(const base::answer_ptr& whole)
{
    if (whole == nullptr)
        return nullptr;
    json out = body_digest(whole->body);
    out["content_type"] = whole->content_type;
    out["tokens"] = whole->tokens;
    out["of_model"] = whole->from_model;
    return out;
}

void read(const json& from, base::answer_ptr& into)
{
    if (from.is_null())
        return;
    base::answer out;
    out.body = made_up_body(from);
    out.content_type = from.value("content_type", "text/plain");
    read(from.value("tokens", json(1U)), out.tokens);
    out.from_model = from.value("of_model", true);
    into = std::make_shared<const base::answer>(std::move(out));
}

json write(const config::snapshot_ptr& snapshot)
{
    return snapshot == nullptr ? json(nullptr) : write_fields(*snapshot);
}

void read(const json& from, config::snapshot_ptr& into)
{
    config::snapshot out;
    read_fields(from, out);
    into = std::make_shared<const config::snapshot>(std::move(out));
}

json write(const std::unordered_map<std::string, config::workspace_rules>& all)
{
    std::vector<config::workspace_rules> sorted;
    sorted.reserve(all.size());
    for (const auto& [name, rules] : all)
        sorted.push_back(rules);
    std::sort(sorted.begin(), sorted.end(), [](const auto& a, const auto& b) {
        return a.name < b.name;
    });
    return write(sorted);
}

void read(const json& from,
          std::unordered_map<std::string, config::workspace_rules>& into)
{
    std::vector<config::workspace_rules> list;
    read(from, list);
    for (config::workspace_rules& one : list) {
        std::string name = one.name;
        into.insert_or_assign(std::move(name), std::move(one));
    }
}

json to_json(const delivery::event& what)
{
    return write_line(what, "event");
}

json to_json(const delivery::action& what)
{
    return write_line(what, "action");
}

json to_json(const delivery::scheduler_options& options)
{
    return write_fields(options);
}

read_result<delivery::event> event_from(const json& line)
{
    return guarded<delivery::event>([&](delivery::event& out) {
        read_line(line, "event", out);
        const auto* changed = std::get_if<delivery::config_changed>(&out);
        if (changed != nullptr && changed->snapshot == nullptr)
            throw bad_line("snapshot: must be there");
        const auto* ended = std::get_if<delivery::stream_finished>(&out);
        if (ended != nullptr && ended->answer == nullptr)
            throw bad_line("whole: must be there");
    });
}

read_result<delivery::action> action_from(const json& line)
{
    return guarded<delivery::action>(
        [&](delivery::action& out) { read_line(line, "action", out); });
}

read_result<delivery::scheduler_options> options_from(const json& value)
{
    return guarded<delivery::scheduler_options>(
        [&](delivery::scheduler_options& out) { read_fields(value, out); });
}

read_result<base::instant> instant_of(const json& line)
{
    return guarded<base::instant>([&](base::instant& out) {
        if (!line.is_object() || !read_member(line, "at_us", out))
            throw bad_line("at_us or at_ms is expected");
    });
}

} // namespace greengagedrum::trace
