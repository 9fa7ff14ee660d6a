// A whole deployment within one process, over loopback: the platform, every
// upstream that the fleet document names, and entries. For the demo and for
// experiments; the daemons are the real ones, the rest are stand-ins.
#pragma once

#include <greengagedrum/daemon/daemon.hpp>
#include <standin/engine.hpp>
#include <standin/engine_settings.hpp>
#include <standin/platform.hpp>
#include <standin/service.hpp>

#include <nlohmann/json.hpp>

#include <chrono>
#include <filesystem>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace demo
{

struct deployment_settings {
    std::filesystem::path documents; // a folder as ggdctl check reads it
    double speed = 1;                // of all engines, times the fleet's
    std::size_t entries_max = 100;   // slots filled, over all data centres
    std::chrono::milliseconds load_lag{200};
    greengagedrum::settings::placement_choice placement =
        greengagedrum::settings::placement_choice::scheduler;
};

class local_deployment
{
public:
    explicit local_deployment(deployment_settings settings);
    ~local_deployment();
    local_deployment(const local_deployment&) = delete;
    local_deployment& operator=(const local_deployment&) = delete;

    // Starts everything and waits until every entry is ready. Empty, or what
    // went wrong.
    std::string start();

    std::vector<std::string> entry_addresses() const;
    std::vector<std::string> upstream_addresses() const;
    std::vector<std::string> admin_addresses() const;

    standin::platform& platform() { return this->platform_side; }
    // Null when there is none of that name.
    standin::engine* engine(const std::string& name);
    std::vector<std::string> engine_names() const;

    // Abrupt: its connections break, its memory is gone.
    void kill_engine(const std::string& name);

    // Ends what it has in flight at once and is gone; the platform's list
    // goes on naming it. It isn't as abrupt as the death of a process: peers
    // hear that it leaves, and callers get a verdict. Don't use entry() of it
    // afterwards.
    void end_entry(std::size_t index);

    // One entry, by its place in entry_addresses().
    greengagedrum::daemon::daemon& entry(std::size_t index)
    {
        return *this->entries.at(index);
    }

private:
    void start_upstream(const nlohmann::json& entry);
    std::string start_entry(const std::string& slot,
                            const std::string& data_centre);
    std::string start_entries(const nlohmann::json& fleet);
    bool wait_ready() const;

    deployment_settings settings;
    standin::platform platform_side;
    std::map<std::string, std::unique_ptr<standin::engine>> engines;
    std::map<std::string, std::unique_ptr<standin::service>> services;
    std::vector<std::unique_ptr<greengagedrum::daemon::daemon>> entries;
};

} // namespace demo
