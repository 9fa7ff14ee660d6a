#include <greengagedrum/entry/test/configuration_change_fixture.hpp>

#include <openssl/evp.h>

#include <csignal>

namespace greengagedrum::entry
{

namespace
{

using namespace std::chrono_literals;
using json = nlohmann::json;

// A caller or an upstream gives up after it.
constexpr auto answer_timeout = 5s;
constexpr std::size_t upstream_threads = 12;
constexpr std::size_t store_threads = 8;

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

json route(const char* prefix, const char* type, const char* service)
{
    return {{"name", prefix},
            {"hostname", "hall.example"},
            {"prefix", prefix},
            {"routeType", type},
            {"timeoutMs", 20000},
            {"maxAttempts", 2},
            {"service", service}};
}

json first_configuration()
{
    json resumable = route("/stream/", "streaming", "models");
    resumable["streamResume"] = true;
    return {{"routes",
             {route("/once/", "non_idempotent", "models"),
              route("/again/", "idempotent", "models"),
              route("/narrow/", "non_idempotent", "narrow"),
              resumable}},
            {"services",
             {{{"name", "models"}}, {{"name", "narrow"}}, {{"name", "spare"}}}},
            {"limits",
             {{"maxHeaderBytes", 4096},
              {"maxBodyBytes", 131072},
              {"headerTimeoutMs", 3000},
              {"idleTimeoutMs", 15000}}},
            {"tenants",
             {{{"name", "gate"}, {"apiKeys", {"key-1"}}},
              {{"name", "other"}, {"apiKeys", {"key-0"}}}}}};
}

// The default pool has a thread for each processor of the machine.
void use_threads(fake_http_server& server, std::size_t count)
{
    server.server.new_task_queue = [count] {
        return new httplib::ThreadPool(count);
    };
}

std::string probe_prefix(int version)
{
    return "/version-" + std::to_string(version) + "/";
}

} // namespace

configuration_change_fixture::configuration_change_fixture(dispatch_place where)
    : configuration(first_configuration())
{
    for (fake_http_server& one : this->upstream_servers)
        this->serve_upstream(one);
    this->serve_store();
    this->publish_configuration();
    settings& own = this->first_settings;
    own.instance = "entry";
    own.data_centre = "hall";
    own.regions = {{"hall", "here"}};
    own.ip = "127.0.0.1";
    own.caller_address = own.readiness_address = own.control_address =
        own.metrics_address = {"127.0.0.1", 0};
    own.store_address = {"127.0.0.1",
                         static_cast<std::uint16_t>(this->store_server.port)};
    own.bounds.stop_timeout = 300ms;
    own.bounds.retry_slack = 100;
    own.peer_port =
        where == dispatch_place::dispatcher ? this->dispatcher.port() : 0;
    this->entry_under_test = std::make_unique<entry>(own, [this] {
        const std::lock_guard lock(this->mutex);
        return std::exchange(this->next_settings, std::nullopt);
    });
    this->thread = std::thread([this] { this->entry_under_test->run(); });
    this->wait_until_in_force();
    if (where == dispatch_place::dispatcher)
        this->wait_for_dispatcher();
}

configuration_change_fixture::~configuration_change_fixture()
{
    this->release();
    this->dispatcher.stop_sending();
    this->entry_under_test->stop();
    this->thread.join();
    // Together, since each waits for its idle connections.
    this->store_server.server.stop();
    for (fake_http_server& one : this->upstream_servers)
        one.server.stop();
    for (fake_http_server& one : this->upstream_servers)
        one.stop();
    this->store_server.stop();
}

// ---- The store ------------------------------------------------------------

json configuration_change_fixture::upstream(int number,
                                            const char* service,
                                            int slots) const
{
    const auto& server = this->upstream_servers.at(
        static_cast<std::size_t>(number) % this->upstream_servers.size());
    return item("servers/i-" + std::to_string(number),
                {{"service", service},
                 {"address", "127.0.0.1:" + std::to_string(server.port)},
                 {"zone", "hall"},
                 {"version", "v1"},
                 {"slots", slots},
                 {"state", "ready"},
                 {"warmupRemainingMs", 0},
                 {"sequence", 1}},
                2);
}

void configuration_change_fixture::serve_store()
{
    use_threads(this->store_server, store_threads);
    const json entries = {this->upstream(1, "models", 20),
                          this->upstream(2, "models", 20),
                          this->upstream(3, "narrow", 1),
                          this->upstream(4, "spare", 20)};
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
            std::this_thread::sleep_for(5ms);
            const int after = std::stoi(request.get_param_value("after"));
            const std::lock_guard lock(this->mutex);
            std::string text;
            for (const store_event& one : this->events) {
                if (one.revision > after)
                    text += (text.empty() ? "" : ", ") + one.text;
            }
            response.set_content("{\"events\": [" + text + "], \"at\": " +
                                     std::to_string(this->revision) + "}",
                                 "application/json");
        });
    this->store_server.start();
}

void configuration_change_fixture::add_event(const json& event)
{
    this->events.push_back({this->revision, event.dump()});
}

void configuration_change_fixture::publish_configuration()
{
    const std::lock_guard lock(this->mutex);
    this->version += 1;
    this->revision += 1;
    json document = this->configuration;
    document["version"] = this->version;
    // Tells the test which version is in force.
    json probe = route("/", "idempotent", "models");
    probe["name"] = probe["prefix"] = probe_prefix(this->version);
    document["routes"].push_back(probe);
    const json event = item("op/config", document, this->revision);
    this->former_configuration =
        std::exchange(this->published_configuration, event.dump());
    this->add_event(event);
}

void configuration_change_fixture::publish_former_configuration()
{
    const std::lock_guard lock(this->mutex);
    this->revision += 1;
    this->events.push_back({this->revision, this->former_configuration});
}

void configuration_change_fixture::set_evacuated(bool evacuated)
{
    const std::string key = "op/evacuate/hall";
    {
        const std::lock_guard lock(this->mutex);
        this->revision += 1;
        this->evacuated = evacuated;
        if (evacuated)
            this->add_event(item(key, json::object(), this->revision));
        else
            this->add_event({{"key", key},
                             {"revision", this->revision},
                             {"deleted", true}});
    }
    this->publish_configuration();
}

void configuration_change_fixture::reload_settings(
    const routing::region_map& regions)
{
    {
        const std::lock_guard lock(this->mutex);
        this->next_settings = this->first_settings;
        this->next_settings->regions = regions;
    }
    std::raise(SIGHUP);
    for (int tries = 0; tries < 200; ++tries) {
        {
            const std::lock_guard lock(this->mutex);
            if (!this->next_settings)
                return;
        }
        std::this_thread::sleep_for(5ms);
    }
    FAIL("the settings were not reloaded in time");
}

void configuration_change_fixture::wait_until_in_force()
{
    const std::string request =
        "GET " + probe_prefix(this->version) +
        " HTTP/1.1\r\nHost: hall.example\r\nX-Attempt-Id: probe\r\n\r\n";
    const auto caller = this->connect();
    for (int tries = 0; tries < 400; ++tries) {
        caller->write(request);
        // The probe has no key: 401 means that its route exists.
        if (caller->read_answer().status == 401)
            return;
        std::this_thread::sleep_for(5ms);
    }
    FAIL("the configuration was not in force in time");
}

// ---- Upstreams ------------------------------------------------------------

void configuration_change_fixture::serve_upstream(fake_http_server& server)
{
    use_threads(server, upstream_threads);
    const auto handle = [this](const httplib::Request& request,
                               httplib::Response& response) {
        this->respond(request, response);
    };
    server.server.Post(".*", handle);
    server.start();
}

void configuration_change_fixture::respond(const httplib::Request& request,
                                           httplib::Response& response)
{
    const std::string attempt = request.get_header_value("X-Attempt-Id");
    const bool moves = request.path.ends_with("/moved");
    bool first = false;
    {
        const std::lock_guard lock(this->mutex);
        first = this->received[attempt]++ == 0;
        if (!moves || !first)
            this->run_counts[attempt] += 1;
        this->changed.notify_all();
    }
    if (request.path.ends_with("/parts"))
        return this->respond_in_two_parts(request, response);
    if (!request.path.ends_with("/quick"))
        this->wait_until_released();
    entry_fixture::write_signed_answer(request, response, "answer");
    if (moves && first) {
        response.status = 503;
        response.set_header("X-Not-Executed", "1");
    }
}

void configuration_change_fixture::respond_in_two_parts(
    const httplib::Request& request, httplib::Response& response)
{
    entry_fixture::write_signed_answer(request, response, "");
    const auto write_part = [this](std::size_t offset,
                                   httplib::DataSink& sink) {
        const std::string event =
            offset == 0 ? "id: 1\ndata: 7\n\n" : "id: 2\ndata: 9\n\n";
        if (offset > 0)
            this->wait_until_released();
        sink.write(event.data(), event.size());
        return true;
    };
    if (request.path.starts_with("/stream/")) {
        response.set_chunked_content_provider(
            "text/event-stream",
            [write_part](std::size_t offset, httplib::DataSink& sink) {
                const bool written = write_part(offset, sink);
                if (offset > 0)
                    sink.done();
                return written;
            });
        return;
    }
    constexpr std::size_t size = 30; // of both events
    response.set_content_provider(
        size,
        "text/plain",
        [write_part](std::size_t offset, std::size_t, httplib::DataSink& sink) {
            return write_part(offset, sink);
        });
}

void configuration_change_fixture::wait_until_released()
{
    std::unique_lock lock(this->mutex);
    this->changed.wait_for(
        lock, answer_timeout, [this] { return this->released; });
}

void configuration_change_fixture::release()
{
    const std::lock_guard lock(this->mutex);
    this->released = true;
    this->changed.notify_all();
}

std::unique_ptr<change_caller> configuration_change_fixture::connect() const
{
    return std::make_unique<change_caller>(
        this->entry_under_test->caller_address());
}

int configuration_change_fixture::runs(const std::string& attempt) const
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->run_counts.find(attempt);
    return found == this->run_counts.end() ? 0 : found->second;
}

bool configuration_change_fixture::wait_until_received(
    const std::string& attempt) const
{
    std::unique_lock lock(this->mutex);
    return this->changed.wait_for(lock, 2s, [this, &attempt] {
        return this->received.contains(attempt);
    });
}

} // namespace greengagedrum::entry
