#include <greengagedrum/ctl/admin_client.hpp>

#include <httplib.h>

namespace greengagedrum::ctl
{

namespace
{
constexpr std::chrono::seconds patience(3);
constexpr int status_ok = 200;
constexpr int status_not_good = 300;
} // namespace

tl::expected<std::string, std::string>
ask_admin(const base::ip_endpoint& address,
          const std::string& method,
          const std::string& path)
{
    httplib::Client client(address.ip, address.port);
    client.set_connection_timeout(patience);
    client.set_read_timeout(patience);
    client.set_write_timeout(patience);
    httplib::Request request;
    request.method = method;
    request.path = path;
    const httplib::Result answer = client.send(request);
    if (!answer)
        return tl::unexpected(httplib::to_string(answer.error()));
    if (answer->status < status_ok || answer->status >= status_not_good)
        return tl::unexpected("answered " + std::to_string(answer->status));
    return answer->body;
}

} // namespace greengagedrum::ctl
