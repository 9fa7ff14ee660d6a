#include <load/answer_reader.hpp>
#include <load/caller.hpp>
#include <load/http_endpoint.hpp>

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace load
{

namespace
{

using std::chrono::microseconds;
using std::chrono::milliseconds;
using clock = std::chrono::steady_clock;

microseconds since(clock::time_point start)
{
    return std::chrono::duration_cast<microseconds>(clock::now() - start);
}

httplib::Request make_request(const question& asked,
                              const request_names& names,
                              milliseconds left)
{
    httplib::Request request;
    request.method = "POST";
    request.path =
        "/v1/workspaces/" + asked.sort->workspace + "/" + asked.sort->kind;
    request.headers = {
        {"Authorization", "Bearer " + asked.sort->token},
        {"Content-Type", "application/json"},
        {"Deadline-Ms",
         std::to_string(std::max<std::int64_t>(1, left.count()))}};
    if (!names.key.empty())
        request.headers.emplace("Idempotency-Key", names.key);
    if (!names.ticket.empty())
        request.headers.emplace("Ticket", names.ticket);
    request.body = body_of(asked);
    return request;
}

response_head head_of(const httplib::Response& response)
{
    return {response.status,
            response.get_header_value("Content-Type"),
            response.get_header_value("Verdict"),
            response.get_header_value("Ticket"),
            response.get_header_value("Retry-After")};
}

// Only an error before the connection stood is sure to have sent nothing.
bool never_sent(httplib::Error error)
{
    return error == httplib::Error::Connection ||
           error == httplib::Error::ConnectionTimeout ||
           error == httplib::Error::BindIPAddress;
}

answer unreachable()
{
    answer none;
    none.how = ending::unreachable;
    none.reason = "unreachable";
    return none;
}

} // namespace

caller::caller(std::span<const std::string> addresses, milliseconds patience)
    : entries(addresses.begin(), addresses.end()), grace(patience),
      clients(addresses.size())
{
}

caller::~caller() = default;

httplib::Client& caller::client(std::size_t entry, milliseconds left)
{
    std::unique_ptr<httplib::Client>& held = this->clients[entry];
    if (!held)
        held = make_client(this->entries[entry]);
    bound_client(*held, left + this->grace);
    return *held;
}

answer caller::ask(std::size_t entry,
                   const question& asked,
                   const request_names& names,
                   milliseconds left)
{
    const clock::time_point start = clock::now();
    const microseconds longest = left + this->grace;
    answer_reader reader(asked.sort->service);
    httplib::Request request = make_request(asked, names, left);
    request.response_handler = [&reader](const httplib::Response& response) {
        reader.begin(head_of(response));
        return true;
    };
    request.content_receiver = [&](const char* data,
                                   std::size_t size,
                                   std::uint64_t /*offset*/,
                                   std::uint64_t /*all*/) {
        const microseconds now = since(start);
        return reader.feed({data, size}, now) && now <= longest;
    };
    httplib::Response response;
    httplib::Error error = httplib::Error::Success;
    const bool complete =
        this->client(entry, left).send(request, response, error);
    if (!complete && never_sent(error))
        return unreachable();
    answer received = reader.finish(complete);
    if (received.how == ending::lost && received.reason.empty())
        received.reason =
            complete ? "no verdict in status " + std::to_string(received.status)
                     : "lost: " + httplib::to_string(error);
    return received;
}

answer
caller::take_ticket(std::size_t entry, const question& asked, milliseconds left)
{
    const httplib::Headers headers = {
        {"Authorization", "Bearer " + asked.sort->token},
        {"Workspace", asked.sort->workspace}};
    const httplib::Result result =
        this->client(entry, left)
            .Post("/v1/tickets", headers, std::string(), "application/json");
    if (!result)
        return unreachable();
    answer received;
    received.status = result->status;
    const auto data = nlohmann::json::parse(result->body, nullptr, false);
    if (result->status == 201 && data.is_object() && data.contains("ticket") &&
        data["ticket"].is_string()) {
        received.how = ending::answered;
        received.ticket = data["ticket"].get<std::string>();
        return received;
    }
    answer_reader reader(false);
    reader.begin(head_of(*result));
    reader.feed(result->body, microseconds(0));
    received = reader.finish(true);
    if (received.how != ending::refused)
        received.how = ending::not_run;
    return received;
}

} // namespace load
