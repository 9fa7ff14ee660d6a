// A whole daemon in the test's process, with one engine, one plain service and
// a platform as stand-ins, and a small configuration of its own.
#pragma once

#include <greengagedrum/callers/bearer_token.hpp>
#include <greengagedrum/daemon/daemon.hpp>
#include <greengagedrum/daemon/test/raw_caller.hpp>
#include <standin/engine.hpp>
#include <standin/platform.hpp>
#include <standin/service.hpp>

#include <doctest/doctest.h>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdio>
#include <functional>
#include <memory>
#include <string>
#include <thread>

namespace greengagedrum::daemon
{

struct daemon_fixture {
    static constexpr std::chrono::seconds patience{20};
    static constexpr auto token = "booths-secret-token";
    static constexpr auto other_token = "archive-secret-token";
    static constexpr std::size_t body_max = 65536;

    explicit daemon_fixture(double decode_speed = 2000)
        : photo(engine_speed(decode_speed))
    {
        REQUIRE(this->photo.start());
        REQUIRE(this->counter.start());
        REQUIRE(this->central.start());
        this->publish();
        this->tested = std::make_unique<daemon>(this->settings());
        std::string error;
        REQUIRE_MESSAGE(this->tested->start(error), error);
        REQUIRE(this->eventually([this] {
            return this->tested->ready() && this->post("crop")->status == 200;
        }));
    }

    static standin::engine_settings engine_speed(double decode)
    {
        standin::engine_settings out;
        out.prefill_tokens_per_second = 1'000'000;
        out.decode_tokens_per_second = decode;
        out.cache_event_loss = 0;
        return out;
    }

    settings::daemon_settings settings() const
    {
        settings::daemon_settings out;
        out.instance = "zona-4-a";
        out.data_centre = "zona-4";
        out.listen_address = {"127.0.0.1", 0};
        out.admin_address = {"127.0.0.1", 0};
        out.peer_address = {"127.0.0.1", 0};
        out.platform_addresses = {
            base::parse_endpoint_or_unusable(this->central.address())};
        out.peer_key = "a key of sixteen";
        out.caller_threads = 256;
        out.decision_ring = 8192;
        out.body_bytes_max = body_max;
        out.kept_answer_bytes = std::size_t{1} << 24U;
        out.kept_answer_time = std::chrono::minutes(10);
        out.connect_timeout = std::chrono::seconds(1);
        out.progress_timeout = std::chrono::seconds(5);
        out.retry_budget_percent = 10;
        out.metric_series_max = 16;
        return out;
    }

    static nlohmann::json kind(const char* name, const char* repetition)
    {
        return {{"name", name},
                {"tier", "standard"},
                {"repetition", repetition},
                {"deadline_ms", 60000},
                {"class", "photo"},
                {"model", "compliance"},
                {"max_tokens", 5000}};
    }

    void publish_workspace(const std::string& name, const std::string& secret)
    {
        std::string digits;
        for (const unsigned byte : callers::sha256(secret)) {
            std::array<char, 3> two{};
            std::snprintf(two.data(), two.size(), "%02x", byte);
            digits += two.data();
        }
        this->central.put_document("workspace/" + name,
                                   {{"template", "booths"},
                                    {"home", "zona-4"},
                                    {"token_sha256", digits},
                                    {"parameters", nlohmann::json::object()}});
    }

    void publish()
    {
        using nlohmann::json;
        const json engine = {{"name", "photo-1"},
                             {"data_centre", "zona-4"},
                             {"class", "photo"},
                             {"type", "engine"},
                             {"generation", "g2"},
                             {"models", {"compliance"}},
                             {"max_in_flight", 2},
                             {"max_tokens_in_flight", 65536},
                             {"prefill_tokens_per_second", 8000},
                             {"decode_tokens_per_second", 100},
                             {"checks_fencing", true}};
        const json service = {{"name", "counter-1"},
                              {"data_centre", "zona-4"},
                              {"class", "counter"},
                              {"type", "service"},
                              {"max_in_flight", 8}};
        const json crop = {{"name", "crop"},
                           {"tier", "interactive"},
                           {"repetition", "at_most_once"},
                           {"deadline_ms", 60000},
                           {"class", "counter"},
                           {"path", "/v1/crop"}};
        this->central.put_document("fleet",
                                   {{"data_centres",
                                     {{{"name", "zona-4"},
                                       {"region", "guatemala-city"},
                                       {"slots", {"zona-4-a"}}}}},
                                    {"models",
                                     {{{"name", "compliance"},
                                       {"size_mib", 14000},
                                       {"copies_min", 1}}}},
                                    {"upstreams", {engine, service}}});
        this->central.put_document("template/booths",
                                   {{"parameters", json::array()},
                                    {"kinds",
                                     {kind("review", "at_most_once"),
                                      kind("summary", "idempotent"),
                                      crop}}});
        this->publish_workspace("booths", token);
        this->publish_workspace("archive", other_token);
        this->central.put_instance(
            {"photo-1", "upstream", "zona-4", this->photo.address(), "live"});
        this->central.put_instance({"counter-1",
                                    "upstream",
                                    "zona-4",
                                    this->counter.address(),
                                    "live"});
    }

    static std::string path(const std::string& kind)
    {
        return "/v1/workspaces/booths/" + kind;
    }

    static std::string
    body(const std::string& tag, unsigned tokens, bool stream)
    {
        return nlohmann::json{{"prompt", "[tag:" + tag + "] a mirrored photo"},
                              {"max_tokens", tokens},
                              {"stream", stream}}
            .dump();
    }

    httplib::Result post(const std::string& kind,
                         const std::string& text = "{}",
                         httplib::Headers more = {},
                         const char* secret = token) const
    {
        httplib::Client caller("http://" + this->tested->caller_address());
        caller.set_read_timeout(patience);
        more.emplace("Authorization", std::string("Bearer ") + secret);
        return caller.Post(path(kind), more, text, "application/json");
    }

    // A request as bytes; `length` stands in for the body's own.
    static std::string raw(const std::string& kind,
                           const std::string& text,
                           std::size_t length = SIZE_MAX)
    {
        const std::size_t told = length == SIZE_MAX ? text.size() : length;
        return "POST " + path(kind) +
               " HTTP/1.1\r\nHost: ggd\r\nAuthorization: Bearer " + token +
               "\r\nContent-Length: " + std::to_string(told) + "\r\n\r\n" +
               text;
    }

    std::string admin(const std::string& where) const
    {
        httplib::Client operators("http://" + this->tested->admin_address());
        const auto answer = operators.Get(where);
        return answer ? answer->body : "";
    }

    nlohmann::json status() const
    {
        return nlohmann::json::parse(this->admin("/status"));
    }

    // The engine's runs with this tag.
    std::vector<standin::ledger_run> runs(const std::string& tag)
    {
        std::vector<standin::ledger_run> out;
        for (const standin::ledger_run& run : this->photo.ledger())
            if (run.tag == tag)
                out.push_back(run);
        return out;
    }

    bool ran_once(const std::string& tag, standin::run_state state)
    {
        const auto found = this->runs(tag);
        return found.size() == 1 && found.front().state == state;
    }

    static bool eventually(const std::function<bool()>& holds)
    {
        const auto limit = std::chrono::steady_clock::now() + patience;
        while (!holds()) {
            if (std::chrono::steady_clock::now() > limit)
                return false;
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        }
        return true;
    }

    standin::engine photo;
    standin::service counter;
    standin::platform central;
    std::unique_ptr<daemon> tested;
};

// The engine takes long enough over a token that callers come and go.
struct slow_daemon_fixture : daemon_fixture {
    slow_daemon_fixture() : daemon_fixture(200) {}
};

} // namespace greengagedrum::daemon
