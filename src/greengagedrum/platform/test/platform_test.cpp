// The platform's names and formats, read into and written from our types.
#include <greengagedrum/platform/documents.hpp>
#include <greengagedrum/platform/headers.hpp>
#include <greengagedrum/platform/settings_file.hpp>
#include <greengagedrum/platform/store_calls.hpp>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

namespace greengagedrum::platform
{

namespace
{

using namespace std::chrono_literals;

constexpr const char* settings_text = R"(
nodeName = "edge-hall-1"
ip = "10.1.0.25"
zone = "hall"
internalPortRange = [7600,7615]
seedNodes = ["10.1.0.25:8229","10.2.0.17:8229"]
somethingNew = { deep = [1, 2] }
[zones]
hall = "west"
yard = 7
[listen]
frontend = "10.1.0.25:8221"
readiness = "10.1.0.25:8224"
controlPlane = "10.1.0.25:8229"
[bounds]
graceS = 8
retrySlack = 56
quotaOvershoot = 0.25
warmupOvershoot = 1.5
warmupSlack = 5
evacuationMs = 5000
[platform]
address = "10.200.1.7:8225"
)";

constexpr const char* configuration_text = R"({"version": 7, "routes": [
 {"name": "r-1", "hostname": "Hall.Example", "prefix": "/a/",
  "routeType": "streaming", "timeoutMs": 12000, "allowedRegions": ["west"], "targetLatencyMs": 800,
  "priority": 2, "maxAttempts": 2, "streamResume": true, "targetGapMs": 200,
  "trafficSplit": [{"service": "s-1", "weight": 90},
                   {"service": "s-2", "weight": 10}]},
 {"name": "r-2", "hostname": "hall.example", "prefix": "/b/",
  "routeType": "non_idempotent", "service": "s-2", "anonymous": true}],
 "services": [{"name": "s-1", "maxConnections": 370, "engine": {"slots": 5},
   "warmupS": 2.5, "warmupPerS": 7.3},
              {"name": "s-2"}],
 "limits": {"maxHeaderBytes": 16384, "idleTimeoutMs": 15000},
 "tenants": [{"name": "gate", "apiKeys": ["k1", "k2"], "allowedRegions": ["west", "east"], "priority": 1,
              "unit": "tokens", "uncachedTokens": 200, "ratePerS": 91282,
              "burst": 5}]})";

relay::request_head head_with(std::vector<relay::header> headers)
{
    return {"POST", "/a/", 11, std::move(headers)};
}

} // namespace

TEST_CASE("settings_file_is_read_and_unknown_fields_are_ignored")
{
    const auto read = read_settings(settings_text);
    REQUIRE(read);
    CHECK(read->instance == "edge-hall-1");
    CHECK(read->data_centre == "hall");
    CHECK(read->caller_address.port == 8221);
    CHECK(read->control_address.port == 8229);
    CHECK(read->regions == routing::region_map{{"hall", "west"}});
    CHECK(read->peer_port == 7600);
    CHECK(read->seeds.size() == 2);
    CHECK(read->store_address.port == 8225);
    CHECK(read->bounds.stop_timeout == 8s);
    CHECK(read->bounds.retry_slack == 56);
    CHECK(read->bounds.usage_overshoot == 0.25);
    CHECK(read->bounds.usage_window == 8s); // its default
    CHECK(read->bounds.warmup_overshoot == 1.5);
    CHECK(read->bounds.warmup_slack == 5);
    CHECK(read->bounds.evacuation_delay == 5s);
}

// Guards against a process that takes bodies without bound and is killed.
TEST_CASE("memory_limit_is_read_whatever_contracts_are_listed")
{
    const std::string limits = "[limits]\ncpuQuota = 0.12\nmemoryMb = 160\n"
                               "maxFds = 4100\nlinkMbps = 10.0\n";
    const auto plain = read_settings(settings_text + limits);
    REQUIRE(plain);
    CHECK(plain->memory_bytes == 160'000'000);
    CHECK(plain->max_descriptors == 4100);
    CHECK(plain->link_bytes_per_second == 1.25e6);
    const auto slow = read_settings("contracts = [\"base\", \"pressure\"]\n" +
                                    std::string(settings_text) + limits);
    REQUIRE(slow);
    CHECK(slow->memory_bytes == 160'000'000);
    CHECK(slow->keeps_connections > plain->keeps_connections);
    CHECK(slow->duties_by_load > plain->duties_by_load);
}

TEST_CASE("settings_with_many_faults_name_them_all")
{
    const auto read = read_settings("nodeName = \"x\"\nip = \"10.1.0.25\"\n"
                                    "[listen]\nfrontend = \"nowhere\"\n"
                                    "[bounds]\ngraceS = -1\n");
    REQUIRE_FALSE(read);
    std::string all;
    for (const std::string& one : read.error())
        all += one + "\n";
    for (const char* field : {"zone",
                              "listen.frontend",
                              "listen.readiness",
                              "internalPortRange",
                              "platform.address",
                              "bounds.graceS"})
        CHECK_MESSAGE(all.find(field) != std::string::npos, field);
}

TEST_CASE("settings_that_are_no_toml_are_refused")
{
    CHECK_FALSE(read_settings("= = ="));
    CHECK_FALSE(read_settings_file("no/such/file"));
}

TEST_CASE("configuration_is_read_into_our_types")
{
    const auto read =
        read_configuration({"op/config", configuration_text, 31, false});
    REQUIRE(read);
    CHECK(read->version == 7);
    CHECK(read->revision == 31);
    const routing::route& stream = read->routes.at(0);
    CHECK(stream.host == "hall.example");
    CHECK(stream.retry == routing::retry_policy::resumable);
    CHECK(stream.stream);
    CHECK(stream.regions == std::vector<std::string>{"west"});
    CHECK(read->routes.at(1).regions.empty());
    CHECK(read->workspaces.at(0).regions.size() == 2);
    CHECK(stream.attempts_max == 2);
    CHECK(stream.timeout == 12s);
    CHECK(stream.latency_objective == 800ms);
    CHECK(stream.targets.size() == 2);
    const routing::route& plain = read->routes.at(1);
    CHECK(plain.retry == routing::retry_policy::at_most_once);
    CHECK(plain.anonymous);
    CHECK(plain.attempts_max == 1);
    CHECK(plain.targets.at(0).service_name == "s-2");
    CHECK(read->services.at(0).engine);
    CHECK(read->services.at(0).warmup == 2500ms);
    CHECK(read->services.at(0).warmup_requests_per_second == 7.3);
    CHECK(read->services.at(1).warmup_requests_per_second == 0);
    CHECK_FALSE(read->services.at(1).engine);
    const routing::workspace& owner = read->workspaces.at(0);
    CHECK(owner.keys.size() == 2);
    CHECK(owner.limit.in_tokens);
    CHECK(owner.limit.default_request_tokens == 200);
    CHECK(read->limits.idle_timeout == 15s);
}

TEST_CASE("stream_that_may_not_be_resumed_runs_at_most_once")
{
    const auto read = read_configuration(
        {"op/config",
         R"({"version": 1, "routes": [{"name": "r", "hostname": "h",
             "prefix": "/", "routeType": "streaming", "service": "s"}]})",
         1,
         false});
    REQUIRE(read);
    CHECK(read->routes.at(0).retry == routing::retry_policy::at_most_once);
}

TEST_CASE("configuration_without_its_fields_is_refused")
{
    for (const char* text : {"",
                             "[]",
                             "{}",
                             R"({"version": 1})",
                             R"({"version": 1, "routes": [{"name": "r"}]})",
                             R"({"version": "one", "routes": []})"})
        CHECK_FALSE_MESSAGE(read_configuration({"op/config", text, 1, false}),
                            text);
}

TEST_CASE("upstream_entry_is_read")
{
    const auto read = read_upstream(
        {"servers/i-7",
         R"({"service": "s-1", "address": "10.128.0.9:8080", "zone": "hall",
             "version": "v1.1", "slots": 5, "state": "draining", "warmupRemainingMs": 250,
             "sequence": 4})",
         12,
         false});
    REQUIRE(read);
    CHECK(read->name == "i-7");
    CHECK(read->service == base::upstream_class_id("s-1"));
    CHECK(read->version == routing::service_version_id("s-1", "v1.1"));
    CHECK(read->version != routing::service_version_id("s-2", "v1.1"));
    CHECK(read->address.port == 8080);
    CHECK(read->leaving);
    CHECK(read->warmup == 250ms);
    CHECK(read->revision == 12);
    CHECK_FALSE(read_upstream(
        {"servers/i-7", R"({"service": "s", "address": "here"})", 1, false}));
}

TEST_CASE("upstream_entry_of_another_writer_is_refused")
{
    const nlohmann::json sound = {{"service", "s-1"},
                                  {"address", "10.128.0.9:8080"},
                                  {"zone", "hall"},
                                  {"version", "v1"},
                                  {"slots", 5},
                                  {"state", "ready"},
                                  {"warmupRemainingMs", 0},
                                  {"sequence", 4},
                                  {"born", 1'790'000'000'000}};
    const auto reads = [](const std::string& text) {
        return read_upstream({"servers/i-7", text, 1, false}).has_value();
    };
    REQUIRE(reads(sound.dump()));
    for (const auto& [name, value] : sound.items()) {
        CAPTURE(name);
        for (const nlohmann::json& odd : {nlohmann::json(),
                                          nlohmann::json::array(),
                                          nlohmann::json(true),
                                          nlohmann::json(-1)}) {
            nlohmann::json other = sound;
            other[name] = odd;
            CHECK_FALSE(reads(other.dump()));
        }
        nlohmann::json other = sound;
        other.erase(name);
        CHECK(reads(other.dump()) == (name == "born"));
    }
    for (const auto& [name, value] :
         std::vector<std::pair<std::string, nlohmann::json>>{
             {"state", "sleeping"},
             {"slots", 0},
             {"slots", 1e45},
             {"slots", 5.5},
             {"address", "here"},
             {"address", "10.0.0.1:0"},
             {"born", 17.5},
             {"born", "1790000000000"},
             {"sequence", "4"}}) {
        nlohmann::json other = sound;
        other[name] = value;
        CHECK_FALSE_MESSAGE(reads(other.dump()), name);
    }
    for (const std::string& text : {std::string(),
                                    std::string("\xff\xfe\x00", 3),
                                    std::string("[]"),
                                    std::string("7"),
                                    std::string(1 << 20U, ' ')})
        CHECK_FALSE(reads(text));
}

TEST_CASE("store_page_and_watch_are_read")
{
    const auto page = read_store_answer(
        R"({"entries": [{"key": "op/config", "value": "e30=", "revision": 4,
            "createdAt": 1, "leaseId": 0}], "hasMore": true, "at": 9})");
    REQUIRE(page);
    CHECK(page->more);
    CHECK(page->as_of == 9);
    CHECK(page->items.at(0).value == "{}");
    const auto watch = read_store_answer(
        R"({"events": [{"key": "servers/i", "revision": 11, "deleted": true}],
            "at": 11})");
    REQUIRE(watch);
    CHECK(watch->items.at(0).removed);
    CHECK_FALSE(read_store_answer("{}"));
}

// Another writer's items lie among the upstreams'. Whatever is in them, an
// answer is read and the upstreams in it are used.
TEST_CASE("store_page_with_items_of_another_writer_is_read")
{
    const std::string large(3 << 20U, 'A');
    const auto page = read_store_answer(
        R"({"entries": [{"key": "servers/a", "value": "!", "revision": 1},
            {"key": "servers/b", "value": 7, "revision": 2},
            {"key": "servers/c", "revision": 3},
            {"key": "servers/d", "value": ")" +
        large + R"(", "revision": 4},
            {"value": "e30="}, 5,
            {"key": "servers/e", "value": "e30=", "revision": 5}], "at": 9})");
    REQUIRE(page);
    REQUIRE(page->items.size() == 5);
    for (std::size_t at = 0; at < 4; ++at)
        CHECK(page->items[at].value.empty());
    CHECK(page->items[4].value == "{}");
}

TEST_CASE("request_marks_are_read_and_odd_ones_refused")
{
    request_marks marks;
    CHECK_FALSE(read_request_marks(head_with({{"x-attempt-id", "9c41"},
                                              {"Api-Key", "k1"},
                                              {"X-Deadline-Ms", "1500"},
                                              {"X-Token-Usage", "1460,80"},
                                              {"X-Length-Hint", "about 40"},
                                              {"Last-Event-Id", "12"},
                                              {"resumes", "77ab"}}),
                                   marks));
    CHECK(marks.attempt == "9c41");
    CHECK(marks.time_left == 1500ms);
    CHECK(marks.prompt_tokens == 1460);
    CHECK(marks.output_tokens == 80);
    CHECK_FALSE(marks.expected_tokens);
    CHECK(marks.resume_after == "12");
    CHECK(marks.resumed_attempt == "77ab");
    for (const relay::header& odd : {relay::header{"X-Deadline-Ms", "soon"},
                                     relay::header{"X-Deadline-Ms", "-1"},
                                     relay::header{"X-Token-Usage", "12"}}) {
        request_marks other;
        CHECK(read_request_marks(head_with({odd}), other));
    }
    request_marks twice;
    CHECK(read_request_marks(
        head_with({{"X-Attempt-Id", "a"}, {"X-Attempt-Id", "b"}}), twice));
    CHECK(read_request_marks(head_with({{"Resumes", "a"}, {"Resumes", "b"}}),
                             twice));
    CHECK_FALSE(twice.resumed_attempt);
}

// A caller sets headers by which engines keep memory for it or go on from
// another request's: they are this system's to set.
TEST_CASE("headers_of_the_system_never_pass_as_the_caller_sent_them")
{
    for (const char* name : {"api-key",
                             "X-Tenant",
                             "X-Target-Instance",
                             "X-Retention",
                             "X-Pin-Ms",
                             "x-kv-backup",
                             "Kv-From",
                             "Kv-Fetch",
                             "X-Deadline-Ms"})
        CHECK_FALSE_MESSAGE(passes_to_upstream(name), name);
    CHECK(passes_to_upstream("X-Model"));
    CHECK(always_passes("x-attempt-id"));
    CHECK(always_passes("resumes"));
    std::string head;
    write_upstream_marks({"i-7", "gate", 1500ms, "12"}, head);
    CHECK(head == "X-Deadline-Ms: 1500\r\nX-Target-Instance: i-7\r\n"
                  "X-Tenant: gate\r\nLast-Event-Id: 12\r\n");
}

TEST_CASE("announced_rate_limit_read_once_and_positive_only")
{
    const auto marks_of = [](std::vector<relay::header> headers) {
        relay::answer_head head;
        head.headers = std::move(headers);
        return read_answer_marks(head);
    };
    CHECK(marks_of({{"keep-alive", "timeout=1"}}).idle_timeout == 1s);
    CHECK(marks_of({{"Keep-Alive", " max=9 , Timeout = 5"}}).idle_timeout ==
          5s);
    CHECK(marks_of({{"Keep-Alive", "2"}}).idle_timeout == 2s);
    CHECK(marks_of({{"Keep-Alive", "timeout=5, max=0"}}).idle_timeout == 0s);
    for (const char* text : {"",
                             "max=5",
                             "timeout",
                             "timeout=",
                             "timeout=-1",
                             "timeout=1.5",
                             "timeout=1, timeout=5",
                             "timeout=99999999999",
                             "1, 2"}) {
        CAPTURE(text);
        CHECK_FALSE(marks_of({{"Keep-Alive", text}}).idle_timeout);
    }
    CHECK_FALSE(
        marks_of({{"Keep-Alive", "1"}, {"Keep-Alive", "1"}}).idle_timeout);
    CHECK(marks_of({{"Connection", "a"}, {"connection", "b, Close"}})
              .closes_connection);
    CHECK_FALSE(marks_of({{"Connection", "keep-alive"}}).closes_connection);
    CHECK(marks_of({{"server-limit", "1.8"}}).rate_limit == 1.8);
    CHECK_FALSE(marks_of({{"server-limit", "1.8"}}).rate_limit_invalid);
    CHECK_FALSE(marks_of({}).rate_limit);
    CHECK_FALSE(marks_of({}).rate_limit_invalid);
    for (const char* text :
         {"", "0", "-1", "many", "1.8/s", "inf", "nan", "1e400"}) {
        CAPTURE(text);
        const answer_marks marks = marks_of({{"Server-Limit", text}});
        CHECK_FALSE(marks.rate_limit);
        CHECK(marks.rate_limit_invalid);
    }
    const answer_marks twice =
        marks_of({{"Server-Limit", "2"}, {"Server-Limit", "3"}});
    CHECK_FALSE(twice.rate_limit);
    CHECK(twice.rate_limit_invalid);
}

} // namespace greengagedrum::platform
