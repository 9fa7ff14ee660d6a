#include <greengagedrum/base/ip_address.hpp>
#include <greengagedrum/upstreams/connection_pool.hpp>
#include <greengagedrum/upstreams/report_client.hpp>
#include <greengagedrum/upstreams/report_reader.hpp>

#include <algorithm>

namespace greengagedrum::upstreams
{

namespace
{

constexpr std::size_t body_max = std::size_t{1} << 20U; // bytes

} // namespace

report_client::report_client(const std::string& name,
                             const std::string& address,
                             std::chrono::milliseconds limit)
    : host(address), upstream(name), timeout(limit)
{
}

std::optional<std::string> report_client::try_get(const std::string& path)
{
    if (!this->client) {
        const base::ip_endpoint endpoint =
            base::parse_endpoint_or_unusable(this->host);
        this->client =
            std::make_unique<httplib::Client>(endpoint.ip, endpoint.port);
        this->client->set_keep_alive(true);
        this->client->set_tcp_nodelay(true);
        this->client->set_connection_timeout(this->timeout);
        this->client->set_read_timeout(this->timeout);
        this->client->set_write_timeout(this->timeout);
    }
    std::string body;
    const auto result =
        this->client->Get(path, [&](const char* data, std::size_t size) {
            body.append(data, size);
            return body.size() <= body_max;
        });
    if (!result || result->status != status_ok) {
        this->client.reset();
        return std::nullopt;
    }
    return body;
}

// A kept connection may have been closed by the engine while it idled: then
// the failure comes at once, and a fresh one is tried. After a time-out a
// second try would only double it.
std::optional<std::string> report_client::get(const std::string& path)
{
    const bool kept = this->client != nullptr;
    const auto begin = std::chrono::steady_clock::now();
    auto body = this->try_get(path);
    const auto took = std::chrono::steady_clock::now() - begin;
    if (!body && kept && took < this->timeout / 2)
        body = this->try_get(path);
    if (!body)
        this->since = 0;
    return body;
}

std::optional<placement::load_report> report_client::load()
{
    const auto begin = std::chrono::steady_clock::now();
    const auto body = this->get("/v1/load");
    if (!body)
        return std::nullopt;
    auto report = read_load(*body, this->upstream);
    if (report)
        report->age += std::chrono::duration_cast<base::duration>(
            std::chrono::steady_clock::now() - begin);
    return report;
}

std::vector<placement::cache_event> report_client::cache_events()
{
    const auto body =
        this->get("/v1/cache_events?since=" + std::to_string(this->since));
    if (!body)
        return {};
    auto events = read_cache_events(*body, this->upstream);
    if (!events)
        return {};
    for (const placement::cache_event& event : *events)
        this->since = std::max(this->since, event.sequence);
    return std::move(*events);
}

} // namespace greengagedrum::upstreams
