// An entry over loopback whose configuration a test changes while requests are
// in progress. The upstreams hold their responses until the test releases them.
#pragma once

#include <greengagedrum/entry/test/change_caller.hpp>
#include <greengagedrum/entry/test/entry_fixture.hpp>
#include <greengagedrum/entry/test/fake_dispatcher.hpp>

#include <nlohmann/json.hpp>

#include <condition_variable>
#include <map>

namespace greengagedrum::entry
{

// Who decides which upstream gets a request.
enum class dispatch_place : std::uint8_t { entry, dispatcher };

class configuration_change_fixture
{
public:
    explicit configuration_change_fixture(
        dispatch_place where = dispatch_place::entry);
    ~configuration_change_fixture();
    configuration_change_fixture(const configuration_change_fixture&) = delete;
    configuration_change_fixture&
    operator=(const configuration_change_fixture&) = delete;

    // The document to publish next.
    nlohmann::json configuration;

    void publish_configuration();
    void set_evacuated(bool evacuated);
    // Delivers the document before the present one once more.
    void publish_former_configuration();
    // Reloads the settings with these regions of data centres, on SIGHUP.
    void reload_settings(const routing::region_map& regions);
    // Until the entry uses what was published last.
    void wait_until_in_force();

    std::unique_ptr<change_caller> connect() const;
    // Runs of the request that upstreams began.
    int runs(const std::string& attempt) const;
    bool wait_until_received(const std::string& attempt) const;
    // By the dispatcher.
    int granted() const;
    // Lets the upstreams answer.
    void release();

private:
    struct store_event {
        int revision = 0;
        std::string text;
    };

    void decide(const dispatch::slot_request& wanted,
                dispatch::dispatcher_reply& into);
    void wait_for_dispatcher();
    void serve_store();
    void serve_upstream(fake_http_server& server);
    void respond(const httplib::Request& request, httplib::Response& response);
    void respond_in_two_parts(const httplib::Request& request,
                              httplib::Response& response);
    void wait_until_released();
    nlohmann::json upstream(int number, const char* service, int slots) const;
    void add_event(const nlohmann::json& event);

    mutable std::mutex mutex;
    mutable std::condition_variable changed;
    bool released = false;
    bool evacuated = false;
    int grants = 0;
    // The request that the dispatcher gave the only slot of its service.
    std::optional<base::request_id> slot_holder;
    std::map<std::string, int> received;
    std::map<std::string, int> run_counts;
    int version = 0;
    int revision = 2;
    std::vector<store_event> events;
    std::string former_configuration; // as an event
    std::string published_configuration;
    std::optional<settings> next_settings;
    settings first_settings;
    fake_dispatcher dispatcher;
    fake_http_server store_server;
    std::array<fake_http_server, 2> upstream_servers;
    std::unique_ptr<entry> entry_under_test;
    std::thread thread;
};

} // namespace greengagedrum::entry
