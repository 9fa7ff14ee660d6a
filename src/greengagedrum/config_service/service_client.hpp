// Reads the platform's configuration service over HTTP.
//
// It holds no state of the service's; who asks when is decided elsewhere. Each
// call goes to the address that answered last, then to the next one.
#pragma once

#include <greengagedrum/config/messages.hpp>
#include <greengagedrum/membership/messages.hpp>

#include <httplib.h>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace greengagedrum::config_service
{

class service_client
{
public:
    // Addresses as "IP:port".
    explicit service_client(std::vector<std::string> service_addresses);

    // All documents changed after `since`, or a wait of at most `wait`. None
    // when the service is down, refuses or answers in another shape.
    std::optional<config::document_set>
    documents(std::uint64_t since, std::chrono::milliseconds wait);

    std::optional<membership::instance_list>
    instances(std::uint64_t since, std::chrono::milliseconds wait);

    // Breaks a call under way, which answers none; the next one takes a new
    // connection to the next address.
    void give_up();

    // Breaks a call under way; later calls answer none at once.
    void stop();

    // Calls made since the start; a waiting watch counts as one.
    std::uint64_t calls() const { return this->made; }

private:
    std::optional<std::string> get(const std::string& path,
                                   std::chrono::milliseconds wait);
    std::shared_ptr<httplib::Client> connect(std::chrono::milliseconds wait);
    void drop();

    std::vector<std::string> addresses;
    std::size_t current = 0;
    std::mutex mutex;
    std::shared_ptr<httplib::Client> client;
    bool stopped = false;
    std::atomic<std::uint64_t> made{0};
};

} // namespace greengagedrum::config_service
