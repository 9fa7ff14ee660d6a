#include <standin/engine_core.hpp>
#include <standin/engine_routes.hpp>
#include <standin/json_answers.hpp>
#include <standin/kv_routes.hpp>
#include <standin/stream_reader.hpp>

#include <limits>

namespace standin
{

namespace
{

using httplib::Request;
using httplib::Response;

constexpr std::uint64_t token_limit = std::numeric_limits<std::uint32_t>::max();

void send_stream(Response& answer,
                 engine_core& core,
                 std::shared_ptr<engine_stream> stream,
                 std::uint32_t offset)
{
    const auto reader =
        std::make_shared<stream_reader>(core, std::move(stream), offset);
    answer.set_chunked_content_provider(
        "text/event-stream", [reader](std::size_t, httplib::DataSink& sink) {
            return reader->write_some(sink);
        });
}

void complete(engine_core& core, const Request& request, Response& answer)
{
    const auto body = parse_object(request.body);
    const std::string id = request.get_header_value("X-Stream-Id");
    if (!body || id.empty())
        return answer_error(answer, http_bad_request, "body or X-Stream-Id");
    const auto model = text_member(*body, "model");
    const auto prompt = text_member(*body, "prompt");
    const auto tokens = count_member(*body, "max_tokens");
    if (!model || !prompt || !tokens || *tokens > token_limit)
        return answer_error(
            answer, http_bad_request, "model, prompt or max_tokens");
    const auto count = static_cast<std::uint32_t>(*tokens);
    auto stream = core.submit({id, *model, *prompt, count});
    if (!stream)
        return answer_error(answer, http_not_found, "model not loaded");
    send_stream(answer, core, std::move(stream), 0);
}

void resume(engine_core& core, const Request& request, Response& answer)
{
    const auto offset = count_param(request, "offset");
    if (!offset || *offset > token_limit)
        return answer_error(answer, http_bad_request, "offset");
    auto stream = core.find(request.matches[1].str());
    if (!stream)
        return answer_error(answer, http_not_found, "no such stream");
    send_stream(
        answer, core, std::move(stream), static_cast<std::uint32_t>(*offset));
}

void cancel(engine_core& core, const Request& request, Response& answer)
{
    if (!core.cancel(request.matches[1].str()))
        return answer_error(answer, http_not_found, "no such stream");
    answer_json(answer, nlohmann::json::object());
}

void show_load(engine_core& core, Response& answer)
{
    const load_report report = core.report();
    const auto age =
        std::chrono::duration_cast<std::chrono::milliseconds>(report.age);
    answer_json(answer,
                {{"age_ms", age.count()},
                 {"running", report.load.running},
                 {"waiting", report.load.waiting},
                 {"prefill_tokens", report.load.prefill_tokens},
                 {"models", report.models},
                 {"role", report.role},
                 {"version", report.version},
                 {"fence", report.fence}});
}

void show_events(engine_core& core, const Request& request, Response& answer)
{
    const auto since = count_param(request, "since");
    if (!since)
        return answer_error(answer, http_bad_request, "since");
    nlohmann::json list = nlohmann::json::array();
    for (const cache_event& event : core.cache_events(*since))
        list.push_back({{"sequence", event.sequence},
                        {"prefix_hash", event.change.prefix_hash},
                        {"stored", event.change.stored}});
    answer_json(answer, {{"events", std::move(list)}});
}

std::optional<engine_order> order_from(const nlohmann::json& json)
{
    const auto fence = count_member(json, "fence");
    if (!fence)
        return std::nullopt;
    engine_order order;
    order.fence = *fence;
    order.role = text_member(json, "role");
    order.version = text_member(json, "version");
    const auto models = json.find("models");
    if (models == json.end())
        return order;
    order.models.emplace();
    for (const nlohmann::json& model : *models) {
        if (!model.is_string())
            return std::nullopt;
        order.models->push_back(model.get<std::string>());
    }
    return order;
}

void obey(engine_core& core, const Request& request, Response& answer)
{
    const auto body = parse_object(request.body);
    const auto order = body ? order_from(*body) : std::nullopt;
    if (!order)
        return answer_error(answer, http_bad_request, "order");
    if (!core.obey(*order))
        return answer_error(answer, http_conflict, "old fencing number");
    answer_json(answer, {{"fence", order->fence}});
}

void inject(engine_core& core, const Request& request, Response& answer)
{
    const auto body = parse_object(request.body);
    const auto fault = body ? engine_fault_from(*body) : std::nullopt;
    if (!fault)
        return answer_error(answer, http_bad_request, "fault");
    core.inject(*fault);
    answer_json(answer, nlohmann::json::object());
}

httplib::Server::HandlerResponse
refuse(engine_core& core, const Request& request, Response& answer)
{
    using decision = httplib::Server::HandlerResponse;
    if (request.path == "/ledger" || request.path == "/faults")
        return decision::Unhandled;
    if (!core.refuses())
        return decision::Unhandled;
    answer_error(answer, http_unavailable, "refused");
    return decision::Handled;
}

} // namespace

void add_engine_routes(httplib::Server& server, engine_core& core)
{
    server.set_pre_routing_handler([&core](const Request& in, Response& out) {
        return refuse(core, in, out);
    });
    server.Post("/v1/completions", [&core](const Request& in, Response& out) {
        complete(core, in, out);
    });
    const std::string one_stream = "/v1/streams/([^/]+)";
    server.Get(one_stream, [&core](const Request& in, Response& out) {
        resume(core, in, out);
    });
    server.Delete(one_stream, [&core](const Request& in, Response& out) {
        cancel(core, in, out);
    });
    server.Get("/v1/load", [&core](const Request&, Response& out) {
        show_load(core, out);
    });
    server.Get("/v1/cache_events", [&core](const Request& in, Response& out) {
        show_events(core, in, out);
    });
    server.Post("/v1/orders", [&core](const Request& in, Response& out) {
        obey(core, in, out);
    });
    server.Get("/ledger", [&core](const Request&, Response& out) {
        answer_json(out, ledger_json(core.ledger()));
    });
    server.Post("/faults", [&core](const Request& in, Response& out) {
        inject(core, in, out);
    });
    add_kv_routes(server, core);
}

} // namespace standin
