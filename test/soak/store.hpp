// A stand-in for the platform's store: listings and watches of all keys.
#pragma once

#include "coroutine.hpp"
#include <boost/asio/read_until.hpp>
#include <nlohmann/json.hpp>
#include <openssl/evp.h>

#include <cstdint>
#include <map>
#include <string>

namespace soak
{

class store
{
public:
    store(asio::io_context& context, const tcp::endpoint& listening)
        : context(context)
    {
        listen(context, listening, this->acceptor, [this](tcp::socket next) {
            start(this->context, this->serve(std::move(next)));
        });
    }
    store(const store&) = delete;
    store& operator=(const store&) = delete;

    void put(const std::string& key, const nlohmann::json& value)
    {
        this->revision += 1;
        this->items[key] = {{"key", key},
                            {"value", base64_of(value.dump())},
                            {"revision", this->revision},
                            {"createdAt", this->revision},
                            {"leaseId", 0}};
    }

    void remove(const std::string& key)
    {
        this->revision += 1;
        this->items[key] = {
            {"key", key}, {"revision", this->revision}, {"deleted", true}};
    }

private:
    static std::string base64_of(const std::string& text)
    {
        std::string out(4 * ((text.size() + 2) / 3) + 1, '\0');
        const int size =
            EVP_EncodeBlock(reinterpret_cast<unsigned char*>(out.data()),
                            reinterpret_cast<const unsigned char*>(text.data()),
                            static_cast<int>(text.size()));
        out.resize(static_cast<std::size_t>(size));
        return out;
    }

    // 0 for a parameter that isn't there.
    static std::uint64_t parameter(const std::string& head,
                                   const std::string& name)
    {
        const std::size_t at = head.find("&" + name + "=");
        return at == std::string::npos
                   ? 0
                   : std::stoull(head.substr(at + name.size() + 2));
    }

    task serve(tcp::socket connection)
    {
        std::string inbox;
        while (true) {
            error_code fault;
            const std::size_t size =
                co_await asio::async_read_until(connection,
                                                asio::dynamic_buffer(inbox),
                                                "\r\n\r\n",
                                                into(fault));
            if (fault)
                co_return;
            const std::string head = inbox.substr(0, size);
            inbox.erase(0, size);
            const bool watch = head.starts_with("GET /kv-watch");
            const std::uint64_t after = watch ? parameter(head, "after") : 0;
            const auto limit = clock::now() + std::chrono::milliseconds(
                                                  parameter(head, "waitMs"));
            while (watch && this->revision <= after && clock::now() < limit)
                co_await pause(this->context, std::chrono::milliseconds(10));
            const std::string body = this->items_after(watch, after);
            const std::string text = "HTTP/1.1 200 OK\r\nContent-Length: " +
                                     std::to_string(body.size()) + "\r\n\r\n" +
                                     body;
            if (!co_await write(connection, text))
                co_return;
        }
    }

    std::string items_after(bool watch, std::uint64_t after) const
    {
        auto found = nlohmann::json::array();
        for (const auto& [key, one] : this->items) {
            const bool listed = watch || !one.contains("deleted");
            if (listed && one.at("revision").get<std::uint64_t>() > after)
                found.push_back(one);
        }
        return nlohmann::json{{watch ? "events" : "entries", found},
                              {"hasMore", false},
                              {"at", this->revision}}
            .dump();
    }

    asio::io_context& context;
    std::shared_ptr<tcp::acceptor> acceptor;
    std::map<std::string, nlohmann::json> items;
    std::uint64_t revision = 0;
};

} // namespace soak
