#include <standin/engine_core.hpp>
#include <standin/json_answers.hpp>
#include <standin/kv_routes.hpp>

namespace standin
{

namespace
{

using httplib::Request;
using httplib::Response;

constexpr int http_bad_gateway = 502;
constexpr std::chrono::milliseconds fetch_patience{2000};

void export_stream(engine_core& core, const Request& request, Response& answer)
{
    const auto body = parse_object(request.body);
    const auto id = body ? text_member(*body, "stream") : std::nullopt;
    if (!id)
        return answer_error(answer, http_bad_request, "stream");
    const auto handle = core.export_stream(*id);
    const auto state = handle ? core.peek_exported(*handle) : std::nullopt;
    if (!state)
        return answer_error(answer, http_not_found, "no such stream");
    answer_json(answer,
                {{"handle", *handle},
                 {"prompt_tokens", state->prompt_tokens},
                 {"tokens", state->produced}});
}

void hand_over(engine_core& core, const Request& request, Response& answer)
{
    const auto state = core.take_exported(request.matches[1].str());
    if (!state)
        return answer_error(answer, http_not_found, "no such handle");
    answer_json(answer,
                {{"tag", state->tag},
                 {"digest", state->digest},
                 {"prompt_tokens", state->prompt_tokens},
                 {"max_tokens", state->max_tokens},
                 {"tokens", state->produced}});
}

std::optional<exported_stream> fetch(const std::string& source,
                                     const std::string& handle)
{
    httplib::Client client("http://" + source);
    client.set_tcp_nodelay(true);
    client.set_connection_timeout(fetch_patience);
    client.set_read_timeout(fetch_patience);
    const auto got = client.Get("/v1/kv/" + handle);
    if (!got || got->status != 200)
        return std::nullopt;
    const auto body = parse_object(got->body);
    if (!body)
        return std::nullopt;
    const auto count = [&body](const char* name) {
        return static_cast<std::uint32_t>(
            count_member(*body, name).value_or(0));
    };
    return exported_stream{text_member(*body, "tag").value_or(""),
                           count_member(*body, "digest").value_or(0),
                           count("prompt_tokens"),
                           count("max_tokens"),
                           count("tokens")};
}

void import_stream(engine_core& core, const Request& request, Response& answer)
{
    const auto body = parse_object(request.body);
    if (!body)
        return answer_error(answer, http_bad_request, "body");
    const auto handle = text_member(*body, "handle");
    const auto source = text_member(*body, "source");
    const auto id = text_member(*body, "stream");
    if (!handle || !source || !id)
        return answer_error(
            answer, http_bad_request, "handle, source or stream");
    const auto state = fetch(*source, *handle);
    if (!state)
        return answer_error(answer, http_bad_gateway, "source or handle");
    core.import_stream(*id, *state);
    answer_json(answer,
                {{"stream", *id},
                 {"prompt_tokens", state->prompt_tokens},
                 {"tokens", state->produced}});
}

} // namespace

void add_kv_routes(httplib::Server& server, engine_core& core)
{
    server.Post("/v1/kv/export", [&core](const Request& in, Response& out) {
        export_stream(core, in, out);
    });
    server.Post("/v1/kv/import", [&core](const Request& in, Response& out) {
        import_stream(core, in, out);
    });
    server.Get("/v1/kv/([^/]+)", [&core](const Request& in, Response& out) {
        hand_over(core, in, out);
    });
}

} // namespace standin
