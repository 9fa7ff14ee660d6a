#include <demo/one_entry.hpp>
#include <httplib.h>
#include <nlohmann/json.hpp>
#include <openssl/sha.h>

#include <array>
#include <cstdio>
#include <thread>

namespace demo
{

namespace
{

using nlohmann::json;

constexpr const char* centre = "zona-4";
constexpr const char* slot = "zona-4-a";
constexpr const char* token = "bench-token";
constexpr int status_ok = 200;
constexpr int deadline_ms = 60'000;

std::string sha256_hex(const std::string& text)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<const unsigned char*>(text.data()),
           text.size(),
           digest.data());
    std::string out;
    std::array<char, 3> byte{};
    for (const unsigned char one : digest) {
        std::snprintf(byte.data(), byte.size(), "%02x", one);
        out += byte.data();
    }
    return out;
}

json fleet_of(std::size_t upstreams, std::uint32_t places)
{
    json out;
    out["data_centres"] = {
        {{"name", centre}, {"region", "guatemala-city"}, {"slots", {slot}}}};
    out["models"] = {
        {{"name", one_entry::model}, {"size_mib", 14000}, {"copies_min", 1}}};
    out["upstreams"] = json::array();
    for (std::size_t at = 0; at < upstreams; ++at)
        out["upstreams"].push_back({{"name", "engine-" + std::to_string(at)},
                                    {"data_centre", centre},
                                    {"class", "photo"},
                                    {"type", "engine"},
                                    {"generation", "g2"},
                                    {"models", {one_entry::model}},
                                    {"max_in_flight", places},
                                    {"max_tokens_in_flight", 10'000'000},
                                    {"prefill_tokens_per_second", 1'000'000},
                                    {"decode_tokens_per_second", 1000},
                                    {"checks_fencing", false}});
    return out;
}

json template_of()
{
    json kind = {{"name", "ask"},
                 {"tier", "standard"},
                 {"repetition", "idempotent"},
                 {"deadline_ms", deadline_ms},
                 {"class", "photo"},
                 {"model", one_entry::model},
                 {"max_tokens", 4096},
                 {"overflow", true}};
    return {{"parameters", json::array()}, {"kinds", {std::move(kind)}}};
}

} // namespace

one_entry::one_entry(const one_entry_settings& given)
    : settings(given), engine(given.engine)
{
}

load::traffic_class one_entry::traffic(std::uint32_t prompt_bytes,
                                       std::uint32_t tokens)
{
    using shape = load::length_distribution::shape;
    load::traffic_class out;
    out.workspace = "bench";
    out.kind = "ask";
    out.token = token;
    out.names_by = load::identity::none;
    out.deadline = std::chrono::milliseconds(deadline_ms);
    out.prompt_bytes = {shape::fixed, prompt_bytes, prompt_bytes, 0, 0, 1};
    out.max_tokens = {shape::fixed, tokens, tokens, 0, 0, 1};
    return out;
}

void one_entry::publish()
{
    this->platform.put_document(
        "fleet",
        fleet_of(this->settings.upstreams, this->settings.engine.batch_max));
    this->platform.put_document("template/bench", template_of());
    this->platform.put_document("workspace/bench",
                                {{"template", "bench"},
                                 {"home", centre},
                                 {"token_sha256", sha256_hex(token)},
                                 {"parameters", json::object()}});
    for (std::size_t at = 0; at < this->settings.upstreams; ++at)
        this->platform.put_instance({"engine-" + std::to_string(at),
                                     "upstream",
                                     centre,
                                     this->engine.address(),
                                     "live"});
}

std::string one_entry::start()
{
    if (!this->platform.start() || !this->engine.start())
        return "a stand-in can't listen";
    this->publish();
    std::vector<std::string> flags = {std::string("--instance=") + slot,
                                      std::string("--data-centre=") + centre,
                                      "--listen-address=127.0.0.1:0",
                                      "--admin-address=127.0.0.1:0",
                                      "--peer-address=127.0.0.1:0",
                                      "--platform-addresses=" +
                                          this->platform.address(),
                                      "--peer-key=of-the-bench-only-0123456789",
                                      "--log-level=error"};
    if (this->settings.caller_threads > 0)
        flags.push_back("--caller-threads=" +
                        std::to_string(this->settings.caller_threads));
    this->daemon =
        std::make_unique<measured_daemon>(this->settings.program, flags);
    if (!this->daemon->started())
        return this->settings.program + " did not start";
    this->platform.put_instance(
        {slot, "entry", centre, this->daemon->peers(), "live"});
    return this->wait_ready() ? "" : "the entry did not become ready";
}

bool one_entry::wait_ready() const
{
    constexpr int polls = 500;
    httplib::Client client("http://" + this->daemon->admin());
    for (int poll = 0; poll < polls; ++poll) {
        const auto answer = client.Get("/readyz");
        if (answer && answer->status == status_ok)
            return true;
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return false;
}

} // namespace demo
