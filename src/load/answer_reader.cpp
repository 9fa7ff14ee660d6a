#include <greengagedrum/base/digest.hpp>
#include <load/answer_reader.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdlib>

namespace load
{

namespace
{

using nlohmann::json;

constexpr std::size_t largest_body = 16U << 20U; // bytes
constexpr double longest_wait = 3600;            // seconds of Retry-After

json parse(std::string_view text)
{
    return json::parse(text, nullptr, false);
}

std::string string_of(const json& object, const char* member)
{
    if (!object.is_object())
        return {};
    const auto found = object.find(member);
    if (found == object.end() || !found->is_string())
        return {};
    return found->get<std::string>();
}

// The member as a whole number; `missing` where it is none.
std::uint64_t number_of(const json& object, const char* member)
{
    constexpr std::uint64_t missing = UINT64_MAX;
    if (!object.is_object())
        return missing;
    const auto found = object.find(member);
    if (found == object.end() || !found->is_number_unsigned())
        return missing;
    return found->get<std::uint64_t>();
}

std::optional<std::chrono::milliseconds> seconds_of(const std::string& text)
{
    char* end = nullptr;
    const double seconds = std::strtod(text.c_str(), &end);
    if (end == text.c_str() || !(seconds >= 0))
        return std::nullopt;
    return std::chrono::milliseconds(
        static_cast<std::int64_t>(std::min(seconds, longest_wait) * 1000));
}

} // namespace

std::string_view to_string(ending value)
{
    switch (value) {
    case ending::answered:
        return "answered";
    case ending::not_run:
        return "not_run";
    case ending::may_have_run:
        return "may_have_run";
    case ending::refused:
        return "refused";
    case ending::unreachable:
        return "unreachable";
    case ending::lost:
        return "lost";
    }
    return "unknown";
}

std::string_view to_string(fault value)
{
    switch (value) {
    case fault::not_whole:
        return "not_whole";
    case fault::not_own:
        return "not_own";
    case fault::verdict_unclear:
        return "verdict_unclear";
    }
    return "unknown";
}

ending ending_of(std::string_view verdict)
{
    for (const ending value :
         {ending::answered, ending::not_run, ending::may_have_run})
        if (verdict == to_string(value))
            return value;
    return ending::lost;
}

answer_reader::answer_reader(bool from_service)
    : service(from_service),
      reader([this](const greengagedrum::http::server_event& event) {
          return this->take_event(event);
      })
{
}

void answer_reader::begin(const response_head& received)
{
    this->head = received;
    this->result.status = received.status;
    this->result.ticket = received.ticket;
    this->result.retry_after = seconds_of(received.retry_after);
    this->streamed = received.status == 200 &&
                     received.content_type.starts_with("text/event-stream");
}

bool answer_reader::feed(std::string_view bytes, elapsed when)
{
    this->now = when;
    if (this->streamed)
        return this->reader.feed(bytes);
    if (bytes.size() > largest_body - this->body.size())
        return false;
    this->body.append(bytes);
    return true;
}

bool answer_reader::take_event(const greengagedrum::http::server_event& event)
{
    if (this->ended) { // nothing may follow the verdict
        this->add(fault::verdict_unclear);
        return true;
    }
    const json data = parse(event.data);
    if (event.name == "end")
        this->take_end(data);
    else if (event.name == "restart")
        this->take_restart();
    else if (event.name.empty())
        this->take_token(data);
    return this->result.text.size() <= largest_body;
}

void answer_reader::take_token(const json& token)
{
    if (!this->result.first_token)
        this->result.first_token = this->now;
    else
        this->result.between.push_back(this->now - this->last_token);
    this->last_token = this->now;
    if (number_of(token, "index") != this->events)
        this->add(fault::not_whole);
    this->events += token.contains("tokens") ? number_of(token, "tokens") : 1;
    this->result.text += string_of(token, "text");
}

// The request is run anew: what came so far is no part of the answer.
void answer_reader::take_restart()
{
    this->events = 0;
    this->result.text.clear();
    this->result.first_token.reset();
    this->result.between.clear();
}

void answer_reader::take_end(const json& end)
{
    this->ended = true;
    this->result.how = ending_of(string_of(end, "verdict"));
    this->result.reason = string_of(end, "reason");
    if (this->result.how == ending::lost)
        this->add(fault::verdict_unclear);
    if (this->result.how != ending::answered)
        return;
    this->result.tokens = number_of(end, "tokens");
    const bool whole = this->result.tokens == this->events &&
                       number_of(end, "length") == this->result.text.size() &&
                       string_of(end, "digest") ==
                           greengagedrum::base::digest_of(this->result.text);
    if (!whole)
        this->add(fault::not_whole);
}

answer answer_reader::finish(bool complete)
{
    if (this->streamed)
        this->finish_stream(complete);
    else if (!complete || this->head.status == 0)
        this->result.how = ending::lost;
    else if (this->head.status != 200)
        this->finish_error();
    else if (this->service)
        this->finish_service();
    else
        this->finish_json();
    return std::move(this->result);
}

// A stream that breaks off is `lost`: its caller sees that. One that the entry
// itself ended in good order without a verdict broke the promise of one.
void answer_reader::finish_stream(bool complete)
{
    if (this->ended)
        return;
    this->result.how = ending::lost;
    if (complete)
        this->add(fault::verdict_unclear);
}

void answer_reader::finish_json()
{
    const json data = parse(this->body);
    this->result.how = ending_of(this->head.verdict);
    if (this->result.how != ending::answered)
        this->add(fault::verdict_unclear);
    this->result.how = ending::answered;
    this->result.text = string_of(data, "text");
    this->result.tokens = number_of(data, "tokens");
    if (string_of(data, "digest") !=
        greengagedrum::base::digest_of(this->result.text))
        this->add(fault::not_whole);
}

void answer_reader::finish_service()
{
    if (this->head.verdict != "answered")
        this->add(fault::verdict_unclear);
    this->result.how = ending::answered;
    if (!parse(this->body).is_object())
        this->add(fault::not_whole);
    this->result.text = std::move(this->body);
}

void answer_reader::finish_error()
{
    const json problem = parse(this->body);
    this->result.how = ending_of(this->head.verdict);
    this->result.reason = string_of(problem, "reason");
    const bool clear = this->result.how != ending::lost &&
                       this->result.how != ending::answered &&
                       string_of(problem, "verdict") == this->head.verdict;
    if (!clear)
        this->add(fault::verdict_unclear);
    if (this->result.how == ending::answered)
        this->result.how = ending::lost;
    const bool bad_input = this->head.status >= 400 && this->head.status < 500;
    if (bad_input && this->result.how == ending::not_run)
        this->result.how = ending::refused;
}

void answer_reader::add(fault found)
{
    if (std::ranges::count(this->result.faults, found) == 0)
        this->result.faults.push_back(found);
}

} // namespace load
