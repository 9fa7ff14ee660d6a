// The stand-in of the platform: the configuration service and the list of
// instances, as docs/ARCHITECTURE.md describes them, with an admin side for
// the person who publishes. For tests, the demo and `ggd-standin`.
#pragma once

#include <greengagedrum/http/server.hpp>
#include <standin/platform_core.hpp>

#include <filesystem>
#include <string>
#include <string_view>

namespace standin
{

struct platform_settings {
    std::uint64_t calls_per_second = 2000; // of all readers; zero: no limit
    std::size_t threads_max = 512;         // one a connection
};

class platform
{
public:
    explicit platform(const platform_settings& settings = {});
    platform(const platform&) = delete;
    platform& operator=(const platform&) = delete;
    ~platform();

    // Serves on "IP:port"; false when it can't be bound. Once only.
    bool start(std::string_view address = "127.0.0.1:0");
    std::string address() const { return this->server.address(); }
    void stop(); // ends waiting watches; idempotent

    void put_document(const std::string& name, nlohmann::json body);
    void erase_document(const std::string& name);
    void put_instance(const listed_instance& instance);
    bool erase_instance(const std::string& name);
    void inject(const platform_fault& fault) { this->core.inject(fault); }
    call_counts calls() { return this->core.calls(); }

    // Publishes fleet.json, template/NAME.json and workspace/NAME.json of a
    // folder. Empty, or what is wrong with which file; nothing is published
    // then.
    std::string publish_folder(const std::filesystem::path& folder);

private:
    void add_reader_routes();
    void add_admin_routes();
    bool admit(const httplib::Request& request, httplib::Response& answer);
    void show_documents(const httplib::Request& request,
                        httplib::Response& answer);
    void show_instances(const httplib::Request& request,
                        httplib::Response& answer);
    void take_document(const httplib::Request& request,
                       httplib::Response& answer);
    void take_instance(const httplib::Request& request,
                       httplib::Response& answer);
    void take_fault(const httplib::Request& request, httplib::Response& answer);

    platform_core core;
    greengagedrum::http::server server;
};

} // namespace standin
