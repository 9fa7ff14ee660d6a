#include <greengagedrum/base/digest.hpp>
#include <greengagedrum/callers/answer_writer.hpp>

#include <httplib.h>
#include <nlohmann/json.hpp>

namespace greengagedrum::callers
{

using nlohmann::json;

namespace
{

constexpr auto json_type = "application/json";

// Texts of an upstream may hold invalid UTF-8; it is replaced, not refused.
std::string dump(const json& value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace

void event_writer::write(std::string_view event, std::string_view data)
{
    if (this->gone)
        return;
    std::string text;
    if (!event.empty())
        text.append("event: ").append(event).append("\n");
    text.append("data: ").append(data).append("\n\n");
    if (!this->sink.write(text.data(), text.size()))
        this->gone = true;
}

void event_writer::token(std::uint32_t index, std::string_view text)
{
    this->write("", dump(json{{"index", index}, {"text", text}}));
}

void event_writer::kept(const base::answer& answer)
{
    this->write("",
                dump(json{{"index", 0},
                          {"text", answer.body},
                          {"tokens", answer.tokens}}));
}

void event_writer::restart()
{
    this->write("restart", "{}");
}

void event_writer::whole(const base::answer& answer)
{
    this->write("end",
                dump(json{{"verdict", "answered"},
                          {"tokens", answer.tokens},
                          {"length", answer.body.size()},
                          {"digest", base::digest_of(answer.body)}}));
}

void event_writer::failed(const base::verdict& verdict)
{
    this->write("end",
                dump(json{{"verdict", base::to_string(verdict.run)},
                          {"reason", base::to_string(verdict.why)}}));
}

void write_answer(const base::answer& answer, httplib::Response& response)
{
    response.status = 200;
    response.set_header("Verdict", "answered");
    if (!answer.from_model) {
        response.set_content(answer.body,
                             answer.content_type.empty()
                                 ? json_type
                                 : answer.content_type.c_str());
        return;
    }
    const json body = {{"text", answer.body},
                       {"tokens", answer.tokens},
                       {"digest", base::digest_of(answer.body)}};
    response.set_content(dump(body), json_type);
}

} // namespace greengagedrum::callers
