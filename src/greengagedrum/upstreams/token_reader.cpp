#include <greengagedrum/upstreams/token_reader.hpp>

#include <nlohmann/json.hpp>

#include <optional>
#include <utility>

namespace greengagedrum::upstreams
{

namespace
{

// Not json::value(), which throws at a member of another type, in the thread
// that serves the caller.
std::optional<std::uint64_t> unsigned_member(const nlohmann::json& from,
                                             const char* name)
{
    const auto found = from.find(name);
    if (found == from.end() || !found->is_number_unsigned())
        return std::nullopt;
    return found->get<std::uint64_t>();
}

} // namespace

token_reader::token_reader(partial_answer& answer,
                           const token_receiver& receiver)
    : so_far(answer), on_token(receiver),
      events(
          [this](const http::server_event& event) { return this->take(event); })
{
}

bool token_reader::feed(std::string_view bytes)
{
    this->events.feed(bytes);
    if (this->events.current() == http::event_stream::state::too_long)
        this->broken = true;
    return !this->broken;
}

bool token_reader::take(const http::server_event& event)
{
    // The answer is whole and counted: nothing after that can change it.
    if (this->done || event.data == "[DONE]")
        return true;
    if (this->take_json(event.data))
        return true;
    this->broken = true;
    return false;
}

bool token_reader::take_json(std::string_view text)
{
    const auto json = nlohmann::json::parse(text, nullptr, false);
    if (!json.is_object())
        return false;
    const auto end = json.find("done");
    if (end != json.end() && *end != false)
        return *end == true && this->take_end(json);
    const auto index = unsigned_member(json, "index");
    const auto piece = json.find("text");
    if (!index || piece == json.end() || !piece->is_string())
        return false;
    if (*index < this->so_far.tokens)
        return true;
    if (*index > this->so_far.tokens)
        return false;
    const auto& token = piece->get_ref<const std::string&>();
    this->so_far.text += token;
    this->so_far.tokens += 1;
    this->on_token(static_cast<std::uint32_t>(*index), token);
    return true;
}

// A count that is missing or no number proves nothing: not even that an empty
// answer is whole.
bool token_reader::take_end(const nlohmann::json& json)
{
    const auto tokens = unsigned_member(json, "tokens");
    if (!tokens || *tokens != this->so_far.tokens)
        return false;
    const auto cached = unsigned_member(json, "cached_tokens").value_or(0);
    if (std::in_range<std::uint32_t>(cached))
        this->so_far.cached_tokens = static_cast<std::uint32_t>(cached);
    this->done = true;
    return true;
}

} // namespace greengagedrum::upstreams
