#include <greengagedrum/entry/test/entry_fixture.hpp>

#include <nlohmann/json.hpp>
#include <openssl/evp.h>

namespace greengagedrum::entry
{

namespace
{

using namespace std::chrono_literals;
using json = nlohmann::json;

std::string base64_of(const std::string& text)
{
    std::string out(4 * ((text.size() + 2) / 3) + 1, '\0');
    const int size =
        EVP_EncodeBlock(reinterpret_cast<unsigned char*>(out.data()),
                        reinterpret_cast<const unsigned char*>(text.data()),
                        static_cast<int>(text.size()));
    out.resize(static_cast<std::size_t>(size));
    return out;
}

json item(const std::string& key, const json& value, int revision)
{
    return {{"key", key},
            {"value", base64_of(value.dump())},
            {"revision", revision},
            {"createdAt", revision},
            {"leaseId", 0}};
}

json upstream(int port, const std::string& version)
{
    return {{"service", "models"},
            {"address", "127.0.0.1:" + std::to_string(port)},
            {"zone", "hall"},
            {"version", version},
            {"slots", 5},
            {"state", "ready"},
            {"warmupRemainingMs", 0},
            {"sequence", 1}};
}

json route(const char* prefix, const char* type)
{
    return {{"name", prefix},
            {"hostname", "hall.example"},
            {"prefix", prefix},
            {"routeType", type},
            {"timeoutMs", 3000},
            {"targetLatencyMs", 500},
            {"maxAttempts", 2},
            {"service", "models"}};
}

json configuration(const fixture_options& options)
{
    json resumable = route("/stream/", "streaming");
    resumable["streamResume"] = true;
    resumable["maxAttempts"] = options.stream_attempts;
    return {{"version", 1},
            {"routes",
             {route("/once/", "non_idempotent"),
              route("/again/", "idempotent"),
              resumable}},
            {"services", {{{"name", "models"}}}},
            {"limits", {{"maxHeaderBytes", 4096}, {"maxBodyBytes", 65536}}},
            {"tenants",
             {{{"name", "gate"},
               {"apiKeys", {"key-1"}},
               {"unit", "tokens"},
               {"uncachedTokens", 200},
               {"ratePerS", options.limit_per_second},
               {"burst", options.limit_per_second}}}}};
}

settings settings_for(int store_port, const fixture_options& options)
{
    settings out;
    out.instance = "entry-" + options.ip;
    out.data_centre = "hall";
    out.ip = options.ip;
    out.caller_address = out.readiness_address = out.control_address =
        out.metrics_address = {"127.0.0.1", 0};
    out.store_address = {"127.0.0.1", static_cast<std::uint16_t>(store_port)};
    out.bounds.stop_timeout = options.stop_timeout;
    out.bounds.usage_overshoot = 0.25;
    out.bounds.retry_slack = options.retry_slack;
    out.peer_port = options.peer_port;
    out.seeds = options.seeds;
    out.memory_bytes = options.memory_bytes;
    out.keeps_connections = options.keeps_connections;
    return out;
}

} // namespace

fake_http_server::fake_http_server()
{
    this->server.set_tcp_nodelay(true);
    // Stopping the server waits for kept-alive connections.
    this->server.set_keep_alive_timeout(1);
}

void fake_http_server::start()
{
    this->port = this->server.bind_to_any_port("127.0.0.1");
    this->thread = std::thread([this] { this->server.listen_after_bind(); });
    while (!this->server.is_running())
        std::this_thread::sleep_for(1ms);
}

void fake_http_server::stop()
{
    this->server.stop();
    if (this->thread.joinable())
        this->thread.join();
}

fake_http_server::~fake_http_server()
{
    this->stop();
}

entry_fixture::entry_fixture(const fixture_options& options)
{
    const auto handle = [this](const httplib::Request& request,
                               httplib::Response& response) {
        handler chosen;
        {
            const std::lock_guard lock(this->mutex);
            this->requests.push_back(request);
            chosen = this->upstream_handler;
        }
        chosen(request, response);
        const std::lock_guard lock(this->mutex);
    };
    this->upstream_server.server.Post(".*", handle);
    this->upstream_server.server.Get(".*", handle);
    this->upstream_server.start();
    this->publish(options);
    this->store_server.start();
    this->entry_under_test = std::make_unique<entry>(
        settings_for(this->store_server.port, options), options.load_settings);
    this->thread = std::thread([this] { this->entry_under_test->run(); });
    this->wait_until_configured();
    const std::lock_guard lock(this->mutex);
}

entry_fixture::~entry_fixture()
{
    this->entry_under_test->stop();
    this->thread.join();
    this->upstream_server.stop();
    this->store_server.stop();
    const std::lock_guard lock(this->mutex);
}

void entry_fixture::set_upstream_handler(handler chosen)
{
    const std::lock_guard lock(this->mutex);
    this->upstream_handler = std::move(chosen);
}

void entry_fixture::publish(const fixture_options& options)
{
    json entries = {item("op/config", configuration(options), 1)};
    std::vector<int> ports = options.upstream_ports;
    if (ports.empty())
        ports = {this->upstream_server.port};
    for (std::size_t at = 0; at < ports.size(); ++at)
        entries.push_back(item("servers/i-" + std::to_string(at + 1),
                               upstream(ports[at],
                                        at < options.upstream_versions.size()
                                            ? options.upstream_versions[at]
                                            : "v1"),
                               2));
    const std::string page =
        json{{"entries", entries}, {"hasMore", false}, {"at", 2}}.dump();
    this->store_server.server.Get(
        "/kv-range",
        [page](const httplib::Request&, httplib::Response& response) {
            response.set_content(page, "application/json");
        });
    this->store_server.server.Get(
        "/kv-watch",
        [this](const httplib::Request& request, httplib::Response& response) {
            this->answer_watch(request, response);
        });
}

void entry_fixture::answer_watch(const httplib::Request& request,
                                 httplib::Response& response)
{
    std::this_thread::sleep_for(20ms);
    std::unique_lock lock(this->mutex);
    if (this->mode == store_mode::silent) {
        lock.unlock();
        std::this_thread::sleep_for(1500ms);
        lock.lock();
        response.status = 503;
        return;
    }
    const int after = std::stoi(request.get_param_value("after"));
    const bool waits = request.get_param_value("waitMs") != "1";
    const int as_of = this->mode == store_mode::watches_lag && waits
                          ? after
                          : this->store_revision;
    response.set_content("{\"events\": [" +
                             (after < as_of ? this->store_events : "") +
                             "], \"at\": " + std::to_string(as_of) + "}",
                         "application/json");
}

void entry_fixture::publish_upstream(
    const std::string& name,
    int port,
    const std::string& version,
    std::optional<std::uint64_t> started_unix_ms)
{
    json fields = upstream(port, version);
    if (started_unix_ms)
        fields["born"] = *started_unix_ms;
    const std::lock_guard lock(this->mutex);
    this->store_revision += 1;
    this->store_events =
        item("servers/" + name, fields, this->store_revision).dump();
}

void entry_fixture::set_store_mode(store_mode chosen)
{
    const std::lock_guard lock(this->mutex);
    this->mode = chosen;
}

void entry_fixture::set_evacuated(bool evacuated)
{
    const std::lock_guard lock(this->mutex);
    this->store_revision += 1;
    const std::string key = "op/evacuate/hall";
    json event = item(key, json::object(), this->store_revision);
    if (!evacuated)
        event = {{"key", key},
                 {"revision", this->store_revision},
                 {"deleted", true}};
    this->store_events = event.dump();
}

void entry_fixture::wait_until_configured() const
{
    for (int tries = 0; tries < 500; ++tries) {
        auto client = this->client();
        const auto response = client.Get("/nowhere/", headers());
        if (response && response->status == 404)
            return;
        std::this_thread::sleep_for(10ms);
    }
    FAIL("the entry did not get its configuration in time");
}

void entry_fixture::write_signed_answer(const httplib::Request& request,
                                        httplib::Response& response,
                                        const std::string& body)
{
    response.set_header("X-Attempt-Id",
                        request.get_header_value("X-Attempt-Id"));
    response.set_header("X-Response-Signature", "signed");
    response.set_content(body, "text/plain");
}

httplib::Headers entry_fixture::headers()
{
    return {{"Host", "hall.example"},
            {"X-Attempt-Id", "a-1"},
            {"X-Deadline-Ms", "2000"},
            {"Api-Key", "key-1"}};
}

httplib::Client entry_fixture::client() const
{
    const base::ip_endpoint address = this->entry_under_test->caller_address();
    httplib::Client out(address.ip, address.port);
    out.set_keep_alive(false);
    return out;
}

std::string entry_fixture::send_raw(const std::string& bytes,
                                    relay::error_code* end) const
{
    relay::asio::io_context context;
    relay::tcp::socket socket(context);
    socket.connect(
        relay::tcp_endpoint(this->entry_under_test->caller_address()));
    relay::asio::write(socket, relay::asio::buffer(bytes));
    std::string out;
    std::array<char, 4096> piece{};
    relay::error_code fault;
    while (!fault) {
        const std::size_t count =
            socket.read_some(relay::asio::buffer(piece), fault);
        out.append(piece.data(), count);
    }
    if (end != nullptr)
        *end = fault;
    return out;
}

std::vector<httplib::Request> entry_fixture::received_requests() const
{
    const std::lock_guard lock(this->mutex);
    return this->requests;
}

} // namespace greengagedrum::entry
