#include <greengagedrum/base/ip_address.hpp>
#include <greengagedrum/config_service/service_client.hpp>
#include <greengagedrum/config_service/wire.hpp>

namespace greengagedrum::config_service
{

namespace
{

constexpr std::chrono::milliseconds connect_timeout(500);

// A watch that is answered this much later than it asked for has lost its
// service: a connection silent for good looks just like one without news.
constexpr std::chrono::milliseconds answer_margin(1000);

std::string
query(const char* path, std::uint64_t since, std::chrono::milliseconds wait)
{
    return std::string(path) + "?since=" + std::to_string(since) +
           "&wait_ms=" + std::to_string(wait.count());
}

} // namespace

service_client::service_client(std::vector<std::string> service_addresses)
    : addresses(std::move(service_addresses))
{
}

std::shared_ptr<httplib::Client>
service_client::connect(std::chrono::milliseconds wait)
{
    const std::lock_guard lock(this->mutex);
    if (this->stopped || this->addresses.empty())
        return nullptr;
    if (!this->client) {
        const auto endpoint =
            base::parse_endpoint_or_unusable(this->addresses[this->current]);
        this->client =
            std::make_shared<httplib::Client>(endpoint.ip, endpoint.port);
        this->client->set_keep_alive(true);
        this->client->set_tcp_nodelay(true);
        this->client->set_connection_timeout(connect_timeout);
        this->client->set_write_timeout(answer_margin);
    }
    this->client->set_read_timeout(wait + answer_margin);
    return this->client;
}

void service_client::drop()
{
    const std::lock_guard lock(this->mutex);
    this->client.reset();
    this->current = (this->current + 1) % this->addresses.size();
}

void service_client::give_up()
{
    const std::lock_guard lock(this->mutex);
    if (this->client)
        this->client->stop();
}

void service_client::stop()
{
    const std::lock_guard lock(this->mutex);
    this->stopped = true;
    if (this->client)
        this->client->stop();
}

std::optional<std::string> service_client::get(const std::string& path,
                                               std::chrono::milliseconds wait)
{
    constexpr int status_ok = 200;
    const auto connection = this->connect(wait);
    if (!connection)
        return std::nullopt;
    this->made += 1;
    const httplib::Result result = connection->Get(path);
    if (result && result->status == status_ok)
        return result->body;
    this->drop();
    return std::nullopt;
}

std::optional<config::document_set>
service_client::documents(std::uint64_t since, std::chrono::milliseconds wait)
{
    const auto text = this->get(query("/v1/documents", since, wait), wait);
    return text ? read_documents(*text) : std::nullopt;
}

std::optional<membership::instance_list>
service_client::instances(std::uint64_t since, std::chrono::milliseconds wait)
{
    const auto text = this->get(query("/v1/instances", since, wait), wait);
    return text ? read_instances(*text) : std::nullopt;
}

} // namespace greengagedrum::config_service
