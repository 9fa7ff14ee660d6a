#include <greengagedrum/settings/daemon_settings.hpp>
#include <standin/document_folder.hpp>

#include <demo/local_deployment.hpp>

#include <thread>

namespace demo
{

using greengagedrum::daemon::daemon;
namespace settings = greengagedrum::settings;

namespace
{

constexpr auto any_port = "127.0.0.1:0";
constexpr std::chrono::milliseconds ready_poll(10);
constexpr int ready_polls_max = 1500;

nlohmann::json fleet_of(const std::vector<standin::named_document>& documents)
{
    for (const standin::named_document& document : documents) {
        if (document.name == "fleet")
            return document.body;
    }
    return nlohmann::json::object();
}

} // namespace

local_deployment::local_deployment(deployment_settings given)
    : settings(std::move(given))
{
}

local_deployment::~local_deployment()
{
    for (auto& entry : this->entries)
        if (entry)
            entry->hurry();
    this->entries.clear();
}

std::string local_deployment::start()
{
    const auto documents =
        standin::read_document_folder(this->settings.documents);
    if (!documents)
        return documents.error();
    if (!this->platform_side.start())
        return "the platform can't listen";
    const nlohmann::json fleet = fleet_of(*documents);
    for (const auto& entry : fleet.at("upstreams"))
        this->start_upstream(entry);
    for (const standin::named_document& document : *documents)
        this->platform_side.put_document(document.name, document.body);
    if (auto fault = this->start_entries(fleet); !fault.empty())
        return fault;
    return this->wait_ready() ? "" : "an entry did not become ready";
}

void local_deployment::start_upstream(const nlohmann::json& entry)
{
    const auto name = entry.at("name").get<std::string>();
    std::string address;
    if (entry.value("type", "engine") == "service") {
        auto& made = this->services[name];
        made = std::make_unique<standin::service>();
        made->start();
        address = made->address();
    } else {
        standin::engine_settings made_of;
        made_of.models = entry.at("models").get<std::vector<std::string>>();
        made_of.prefill_tokens_per_second =
            entry.value("prefill_tokens_per_second", 8000.0) *
            this->settings.speed;
        made_of.decode_tokens_per_second =
            entry.value("decode_tokens_per_second", 60.0) *
            this->settings.speed;
        made_of.batch_max = entry.value("max_in_flight", 8U);
        made_of.load_lag = this->settings.load_lag;
        made_of.checks_fencing = entry.value("checks_fencing", false);
        auto& made = this->engines[name];
        made = std::make_unique<standin::engine>(made_of);
        made->start();
        address = made->address();
    }
    this->platform_side.put_instance(
        {name, "upstream", entry.at("data_centre"), address, "live"});
}

std::string local_deployment::start_entries(const nlohmann::json& fleet)
{
    for (const auto& centre : fleet.at("data_centres")) {
        for (const auto& slot : centre.at("slots")) {
            if (this->entries.size() >= this->settings.entries_max)
                return "";
            auto fault = this->start_entry(slot, centre.at("name"));
            if (!fault.empty())
                return fault;
        }
    }
    return "";
}

std::string local_deployment::start_entry(const std::string& slot,
                                          const std::string& data_centre)
{
    const std::vector<std::string> flags = {
        "--instance=" + slot,
        "--data-centre=" + data_centre,
        std::string("--listen-address=") + any_port,
        std::string("--admin-address=") + any_port,
        std::string("--peer-address=") + any_port,
        "--platform-addresses=" + this->platform_side.address(),
        "--peer-key=of-the-demo-only-0123456789"};
    auto parsed = settings::parse_daemon(
        flags, [](const std::string&) { return std::nullopt; });
    if (!parsed)
        return "a flag of the daemon is faulty";
    parsed->values.placement = this->settings.placement;
    auto entry = std::make_unique<daemon>(parsed->values);
    std::string fault;
    if (!entry->start(fault))
        return fault;
    this->platform_side.put_instance(
        {slot, "entry", data_centre, entry->peer_address(), "live"});
    this->entries.push_back(std::move(entry));
    return "";
}

bool local_deployment::wait_ready() const
{
    for (const auto& entry : this->entries) {
        int polls = 0;
        while (!entry->ready()) {
            if (++polls > ready_polls_max)
                return false;
            std::this_thread::sleep_for(ready_poll);
        }
    }
    return true;
}

std::vector<std::string> local_deployment::entry_addresses() const
{
    std::vector<std::string> out;
    out.reserve(this->entries.size());
    for (const auto& entry : this->entries)
        out.push_back(entry->caller_address());
    return out;
}

std::vector<std::string> local_deployment::admin_addresses() const
{
    std::vector<std::string> out;
    out.reserve(this->entries.size());
    for (const auto& entry : this->entries)
        out.push_back(entry->admin_address());
    return out;
}

std::vector<std::string> local_deployment::upstream_addresses() const
{
    std::vector<std::string> out;
    for (const auto& [name, engine] : this->engines)
        out.push_back(engine->address());
    for (const auto& [name, service] : this->services)
        out.push_back(service->address());
    return out;
}

std::vector<std::string> local_deployment::engine_names() const
{
    std::vector<std::string> out;
    for (const auto& [name, engine] : this->engines)
        out.push_back(name);
    return out;
}

standin::engine* local_deployment::engine(const std::string& name)
{
    const auto found = this->engines.find(name);
    return found == this->engines.end() ? nullptr : found->second.get();
}

void local_deployment::end_entry(std::size_t index)
{
    if (index < this->entries.size())
        this->entries[index].reset();
}

void local_deployment::kill_engine(const std::string& name)
{
    if (standin::engine* found = this->engine(name))
        found->kill();
}

} // namespace demo
