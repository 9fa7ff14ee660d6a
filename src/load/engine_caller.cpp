#include <greengagedrum/http/event_stream.hpp>
#include <load/engine_caller.hpp>
#include <load/http_endpoint.hpp>

#include <httplib.h>
#include <nlohmann/json.hpp>

namespace load
{

namespace
{

using clock = std::chrono::steady_clock;
using std::chrono::duration_cast;
using std::chrono::microseconds;

// Takes one event of an engine's stream into the answer.
void take(std::string_view data, microseconds now, answer& received)
{
    const auto event = nlohmann::json::parse(data, nullptr, false);
    if (!event.is_object()) // "[DONE]"
        return;
    if (event.contains("done")) {
        received.how = ending::answered;
        received.tokens = event.value("tokens", std::uint64_t{0});
        return;
    }
    if (!received.first_token)
        received.first_token = now;
    received.text += event.value("text", "");
}

} // namespace

engine_caller::engine_caller(const std::string& address, std::string_view name)
    : client(make_client(address)), model(name)
{
}

engine_caller::~engine_caller() = default;

answer engine_caller::ask(const question& asked,
                          std::chrono::milliseconds longest)
{
    const clock::time_point start = clock::now();
    answer received;
    greengagedrum::http::event_stream reader(
        [&](const greengagedrum::http::server_event& event) {
            const auto now = duration_cast<microseconds>(clock::now() - start);
            take(event.data, now, received);
            return true;
        });
    const nlohmann::json body{{"model", this->model},
                              {"prompt", asked.prompt},
                              {"max_tokens", asked.max_tokens},
                              {"stream", true}};
    httplib::Request request;
    request.method = "POST";
    request.path = "/v1/completions";
    request.headers = {{"Content-Type", "application/json"},
                       {"X-Stream-Id", asked.key}};
    request.body = body.dump();
    request.content_receiver = [&](const char* data,
                                   std::size_t size,
                                   std::uint64_t /*offset*/,
                                   std::uint64_t /*all*/) {
        return reader.feed({data, size}) && clock::now() - start <= longest;
    };
    bound_client(*this->client, longest);
    httplib::Response response;
    httplib::Error error = httplib::Error::Success;
    const bool complete = this->client->send(request, response, error);
    received.status = response.status;
    if (!complete)
        received.how = error == httplib::Error::Connection ? ending::unreachable
                                                           : ending::lost;
    return received;
}

} // namespace load
