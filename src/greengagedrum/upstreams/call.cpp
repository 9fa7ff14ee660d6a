#include <greengagedrum/upstreams/call.hpp>
#include <greengagedrum/upstreams/connection_pool.hpp>
#include <greengagedrum/upstreams/running_call.hpp>
#include <greengagedrum/upstreams/token_reader.hpp>

#include <gsl/gsl_util>

#include <array>
#include <charconv>

namespace greengagedrum::upstreams
{

namespace
{

constexpr int status_not_found = 404;
constexpr std::size_t reply_max = std::size_t{4} << 20U; // of a service

std::string hexadecimal(std::uint64_t value)
{
    constexpr int base_16 = 16;
    std::array<char, 16> digits{};
    const auto end = std::to_chars(
        digits.data(), digits.data() + digits.size(), value, base_16);
    return {digits.data(), end.ptr};
}

bool never_connected(httplib::Error error)
{
    return error == httplib::Error::Connection ||
           error == httplib::Error::ConnectionTimeout;
}

call_end broken(delivery::break_cause cause)
{
    return call_broken{cause};
}

struct exchange {
    connection_pool& pool;
    running_call& running;
    const call_target& target;
    call_key key;
    httplib::Request request;
    bool resumed = false;
};

// What an exchange that ended without its whole answer came to.
call_end failure_of(const httplib::Result& result, const exchange& what)
{
    if (never_connected(result.error())) {
        if (what.resumed)
            return broken(result.error() == httplib::Error::Connection
                              ? delivery::break_cause::no_connection
                              : delivery::break_cause::unreachable);
        return call_not_connected{};
    }
    if (what.running.stopped(what.key.connection))
        return broken(delivery::break_cause::stopped);
    if (result && result->status == status_not_found)
        return broken(delivery::break_cause::unknown_stream);
    if (result && result->status != status_ok)
        return broken(delivery::break_cause::refused);
    return broken(delivery::break_cause::connection_lost);
}

// Stopped before it began: a dispatch of which no byte was written.
call_end never_begun(const exchange& what)
{
    if (what.resumed)
        return broken(delivery::break_cause::stopped);
    return call_not_connected{};
}

call_end read_tokens(exchange& what,
                     std::unique_ptr<httplib::Client> client,
                     partial_answer& so_far,
                     const token_receiver& on_token)
{
    token_reader reader(so_far, on_token);
    bool accepted = false;
    what.request.response_handler = [&](const httplib::Response& response) {
        accepted = response.status == status_ok;
        return true;
    };
    what.request.content_receiver =
        [&](const char* data, std::size_t size, std::uint64_t, std::uint64_t) {
            if (!accepted)
                return true;
            return reader.feed(std::string_view(data, size));
        };
    if (!what.running.begin(*client, what.key.connection))
        return never_begun(what);
    const auto release = gsl::finally([&] { what.running.end(); });
    const httplib::Result result = client->send(what.request);
    if (reader.malformed())
        return broken(delivery::break_cause::malformed);
    if (!reader.whole())
        return failure_of(result, what);
    what.running.end();
    if (result)
        what.pool.give_back(what.target.address, std::move(client));
    return call_whole{};
}

call_end read_reply(exchange& what,
                    std::unique_ptr<httplib::Client> client,
                    partial_answer& so_far)
{
    std::string body;
    what.request.content_receiver =
        [&](const char* data, std::size_t size, std::uint64_t, std::uint64_t) {
            body.append(data, size);
            return body.size() <= reply_max;
        };
    if (!what.running.begin(*client, what.key.connection))
        return never_begun(what);
    const auto release = gsl::finally([&] { what.running.end(); });
    const httplib::Result result = client->send(what.request);
    if (!result || result->status != status_ok)
        return failure_of(result, what);
    so_far.text = std::move(body);
    so_far.content_type = result->get_header_value("Content-Type");
    what.running.end();
    what.pool.give_back(what.target.address, std::move(client));
    return call_whole{};
}

httplib::Request stream_request(std::string method, std::string path)
{
    httplib::Request request;
    request.method = std::move(method);
    request.path = std::move(path);
    return request;
}

} // namespace

std::string stream_name(base::dispatch_id dispatch)
{
    return hexadecimal(dispatch.life.value) + "-" +
           hexadecimal(dispatch.sequence);
}

call_end hand_over(connection_pool& pool,
                   running_call& running,
                   const call_target& target,
                   const call_key& key,
                   std::string_view body,
                   partial_answer& so_far,
                   const token_receiver& on_token)
{
    const bool service = !target.path.empty();
    exchange what{
        pool,
        running,
        target,
        key,
        stream_request("POST", service ? target.path : "/v1/completions")};
    what.request.body = body;
    what.request.set_header("Content-Type", "application/json");
    what.request.set_header("X-Stream-Id", stream_name(key.dispatch));
    auto client = pool.take(target.address);
    if (service)
        return read_reply(what, std::move(client), so_far);
    so_far.content_type = "application/json";
    return read_tokens(what, std::move(client), so_far, on_token);
}

call_end read_on(connection_pool& pool,
                 running_call& running,
                 const call_target& target,
                 const call_key& key,
                 partial_answer& so_far,
                 const token_receiver& on_token)
{
    exchange what{
        pool,
        running,
        target,
        key,
        stream_request("GET",
                       "/v1/streams/" + stream_name(key.dispatch) +
                           "?offset=" + std::to_string(so_far.tokens)),
        true};
    return read_tokens(what, pool.fresh(target.address), so_far, on_token);
}

void cancel(connection_pool& pool,
            const call_target& target,
            base::dispatch_id dispatch)
{
    if (!target.path.empty())
        return;
    const auto client = pool.fresh(target.address);
    client->Delete("/v1/streams/" + stream_name(dispatch));
}

} // namespace greengagedrum::upstreams
