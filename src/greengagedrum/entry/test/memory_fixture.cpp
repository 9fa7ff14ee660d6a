#include <greengagedrum/entry/test/memory_fixture.hpp>

namespace greengagedrum::entry
{

namespace
{

using namespace std::chrono_literals;
namespace asio = relay::asio;
using relay::tcp;

constexpr std::uint64_t process_bytes = 64U << 20U;
constexpr int few_bytes = 4096;

base::instant loop_time()
{
    return base::instant(1h) +
           std::chrono::duration_cast<base::duration>(
               std::chrono::steady_clock::now().time_since_epoch());
}

std::string route(const char* name,
                  const char* kind,
                  int priority,
                  const char* service = "models",
                  int attempts = 1)
{
    return std::string(R"({"name": ")") + name + R"(", "prefix": "/)" + name +
           R"(/", "hostname": "hall.example", "routeType": ")" + kind +
           R"(", "timeoutMs": 8000, "targetLatencyMs": 4000,
              "maxAttempts": )" +
           std::to_string(attempts) + R"(, "service": ")" + service +
           R"(", "priority": )" + std::to_string(priority) + "}";
}

routing::store_item upstream_item(const char* service, int port)
{
    return {std::string("servers/i-") + service,
            std::string(R"({"service": ")") + service +
                R"(", "zone": "hall", "version": "v1",
                 "slots": 4, "state": "ready", "warmupRemainingMs": 0,
                 "sequence": 1, "address": "127.0.0.1:)" +
                std::to_string(port) + "\"}",
            2,
            false};
}

std::string tenants(double limit_per_second)
{
    if (limit_per_second == 0)
        return {};
    const std::string limit = std::to_string(limit_per_second);
    return R"(, "tenants": [{"name": "gate", "apiKeys": ["key-1"],
                             "unit": "tokens", "uncachedTokens": 200,
                             "ratePerS": )" +
           limit + R"(, "burst": )" + limit + "}]";
}

routing::store_item_list
items(int upstream_port, int other_port, double workspace_limit)
{
    routing::store_item_list out = {
        {"op/config",
         R"({"version": 1,
             "services": [{"name": "models"}, {"name": "others"}],
             "routes": [)" +
             route("urgent", "non_idempotent", 0) + "," +
             route("bulk", "non_idempotent", 1) + "," +
             route("stream", "streaming", 1) + "," +
             route("again", "idempotent", 1, "models", 2) + "," +
             route("other", "non_idempotent", 1, "others") + "]" +
             tenants(workspace_limit) + "}",
         1,
         false},
        upstream_item("models", upstream_port)};
    if (other_port != 0)
        out.push_back(upstream_item("others", other_port));
    return out;
}

} // namespace

memory_fixture::memory_fixture(int upstream_port,
                               int other_port,
                               double workspace_limit)
    : state{loop_time,
            cluster_state(),
            quota::usage_limiter(loop_time()),
            traffic::scheduler({0.2, 50, 10s}, {"hall", 1}),
            rate_limited_log(),
            telemetry::registry(8),
            false,
            false,
            {},
            std::make_shared<memory::account>(
                memory::levels_of(process_bytes))},
      account(*this->state.memory),
      paths("entry-1",
            "127.0.0.1",
            {loop_time,
             [] { return std::vector<reachable_peer>(); },
             [](base::upstream_class_id, bool) {}}),
      versions(this->state,
               base::data_centre_id("hall"),
               {[](const versions::message&, versions::entry_address) {},
                [] { return std::vector<versions::known_entry>(); },
                [](base::duration) {},
                [](const std::function<void(bool)>& on_end) { on_end(true); }}),
      upstream(this->context,
               tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
      handler(this->context, this->state, this->paths, this->versions)
{
    this->handler.listen({"127.0.0.1", 0});
    this->handler.apply_upstream_changes(this->state.cluster.apply(
        items(upstream_port != 0 ? upstream_port
                                 : this->upstream.local_endpoint().port(),
              other_port,
              workspace_limit),
        2,
        true,
        loop_time()));
    this->state.limiter.set_limits(this->state.cluster.routes()->config(),
                                   loop_time());
    this->accept();
}

void memory_fixture::accept()
{
    this->upstream.async_accept([this](relay::error_code, tcp::socket socket) {
        this->upstream_requests += 1;
        tcp::socket& connection =
            this->upstream_connections.emplace_back(std::move(socket));
        if (!this->response.empty())
            asio::async_write(connection,
                              asio::buffer(this->response),
                              [](relay::error_code, std::size_t) {});
        this->accept();
    });
}

void memory_fixture::start_delegating()
{
    this->handler.start_delegating();
}

void memory_fixture::stop_delegating()
{
    this->handler.stop_delegating(0, nullptr);
}

memory_fixture::~memory_fixture()
{
    relay::error_code ignored; // closed either way
    for (relay::tcp::socket& one : this->callers)
        one.close(ignored);
    for (relay::tcp::socket& one : this->upstream_connections)
        one.close(ignored);
    this->run_for(std::chrono::milliseconds(50));
}

tcp::socket& memory_fixture::call(const std::string& bytes)
{
    tcp::socket& out = this->callers.emplace_back(this->context);
    out.open(tcp::v4());
    out.set_option(asio::socket_base::receive_buffer_size(few_bytes));
    out.connect(relay::tcp_endpoint(this->handler.address()));
    const auto kept = std::make_shared<const std::string>(bytes);
    asio::async_write(
        out, asio::buffer(*kept), [kept](relay::error_code, std::size_t) {});
    return out;
}

std::string memory_fixture::head(const std::string& path,
                                 std::size_t body_bytes)
{
    return "POST " + path +
           " HTTP/1.1\r\nHost: hall.example\r\nX-Attempt-Id: a-1\r\n"
           "X-Deadline-Ms: 6000\r\nContent-Length: " +
           std::to_string(body_bytes) + "\r\n\r\n";
}

bool memory_fixture::run_until(const std::function<bool()>& condition,
                               base::duration most)
{
    const base::instant end = loop_time() + most;
    while (loop_time() < end) {
        // A condition may take what has arrived, so it is asked once a turn.
        if (condition())
            return true;
        this->context.run_for(5ms);
        this->handler.tick();
    }
    return condition();
}

void memory_fixture::run_for(base::duration time)
{
    this->run_until([] { return false; }, time);
}

std::string memory_fixture::received(tcp::socket& from)
{
    std::string out(from.available(), '\0');
    if (!out.empty())
        out.resize(from.read_some(asio::buffer(out)));
    return out;
}

} // namespace greengagedrum::entry
