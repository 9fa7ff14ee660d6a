#include <greengagedrum/base/ip_address.hpp>
#include <greengagedrum/upstreams/connection_pool.hpp>

namespace greengagedrum::upstreams
{

std::unique_ptr<httplib::Client>
connection_pool::fresh(const std::string& address) const
{
    const base::ip_endpoint endpoint =
        base::parse_endpoint_or_unusable(address);
    auto client = std::make_unique<httplib::Client>(endpoint.ip, endpoint.port);
    client->set_keep_alive(true);
    client->set_tcp_nodelay(true);
    client->set_connection_timeout(this->options.connect_timeout);
    client->set_read_timeout(this->options.read_timeout);
    client->set_write_timeout(this->options.read_timeout);
    client->set_follow_location(false);
    return client;
}

std::unique_ptr<httplib::Client>
connection_pool::take(const std::string& address)
{
    const clock::time_point oldest = clock::now() - this->options.idle_max;
    std::vector<idle_client> stale; // closed after the lock is released
    const std::lock_guard lock(this->mutex);
    std::vector<idle_client>& kept = this->idle[address];
    if (kept.empty())
        return this->fresh(address);
    idle_client last = std::move(kept.back());
    kept.pop_back();
    if (last.since >= oldest)
        return std::move(last.client);
    stale.swap(kept);
    return this->fresh(address);
}

void connection_pool::give_back(const std::string& address,
                                std::unique_ptr<httplib::Client> client)
{
    const std::lock_guard lock(this->mutex);
    std::vector<idle_client>& kept = this->idle[address];
    if (kept.size() < this->options.kept_max)
        kept.push_back(idle_client{std::move(client), clock::now()});
}

} // namespace greengagedrum::upstreams
