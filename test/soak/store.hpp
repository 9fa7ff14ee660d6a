// A stand-in for the platform's store: listings and watches of all keys.
#pragma once

#include "coroutine.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace soak
{

class store
{
public:
    store(asio::io_context& context, const tcp::endpoint& listening);
    store(const store&) = delete;
    store& operator=(const store&) = delete;

    void put(const std::string& key, const std::string& value);

private:
    struct item {
        std::string value; // in base64
        std::uint64_t revision = 0;
    };
    task accept();
    task serve(tcp::socket connection);
    task wait_for_change(std::uint64_t after, std::uint64_t milliseconds);
    std::string items_after(const char* list, std::uint64_t after) const;

    asio::io_context& context;
    tcp::acceptor acceptor;
    std::map<std::string, item> items;
    std::uint64_t revision = 0;
};

} // namespace soak
