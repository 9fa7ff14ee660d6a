#include <load/http_endpoint.hpp>

#include <httplib.h>

#include <algorithm>
#include <charconv>

namespace load
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds longest_connect{1'000};
constexpr milliseconds shortest_bound{1};

} // namespace

std::unique_ptr<httplib::Client> make_client(const std::string& address)
{
    auto client = std::make_unique<httplib::Client>("http://" + address);
    client->set_tcp_nodelay(true);
    client->set_keep_alive(true);
    client->set_follow_location(false);
    client->set_decompress(false);
    return client;
}

void bound_client(httplib::Client& client, milliseconds longest)
{
    const milliseconds bound = std::max(longest, shortest_bound);
    client.set_connection_timeout(std::min(bound, longest_connect));
    client.set_read_timeout(bound);
    client.set_write_timeout(bound);
}

bool is_address(const std::string& address)
{
    const std::size_t colon = address.rfind(':');
    if (colon == std::string::npos || colon == 0)
        return false;
    std::uint16_t port = 0;
    const char* end = address.data() + address.size();
    const auto parsed = std::from_chars(address.data() + colon + 1, end, port);
    return parsed.ec == std::errc() && parsed.ptr == end && port > 0;
}

} // namespace load
