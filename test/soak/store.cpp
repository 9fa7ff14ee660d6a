#include "store.hpp"

#include <boost/asio/read_until.hpp>
#include <nlohmann/json.hpp>
#include <openssl/evp.h>

namespace soak
{

namespace
{

constexpr std::chrono::milliseconds watch_step(10);
constexpr std::size_t head_bytes_most = 8192;

std::string base64_of(const std::string& text)
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
std::uint64_t parameter(const std::string& head, const std::string& name)
{
    const std::size_t begin = head.find("&" + name + "=");
    return begin == std::string::npos
               ? 0
               : std::strtoull(
                     head.c_str() + begin + name.size() + 2, nullptr, 10);
}

} // namespace

store::store(asio::io_context& context, const tcp::endpoint& listening)
    : context(context), acceptor(context, listening)
{
    start(context, this->accept());
}

void store::put(const std::string& key, const std::string& value)
{
    this->revision += 1;
    this->items[key] = {base64_of(value), this->revision};
}

task store::accept()
{
    while (true) {
        error_code fault;
        tcp::socket next = co_await this->acceptor.async_accept(into(fault));
        if (!fault)
            start(this->context, this->serve(std::move(next)));
    }
}

task store::serve(tcp::socket connection)
{
    std::string inbox;
    error_code fault;
    while (true) {
        const std::size_t size = co_await asio::async_read_until(
            connection,
            asio::dynamic_buffer(inbox, head_bytes_most),
            "\r\n\r\n",
            into(fault));
        if (fault)
            co_return;
        const std::string head = inbox.substr(0, size);
        inbox.erase(0, size);
        const bool watch = head.starts_with("GET /kv-watch");
        const std::uint64_t after = watch ? parameter(head, "after") : 0;
        if (watch)
            co_await this->wait_for_change(after, parameter(head, "waitMs"));
        const std::string body =
            this->items_after(watch ? "events" : "entries", after);
        const std::string text =
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
            "Content-Length: " +
            std::to_string(body.size()) + "\r\n\r\n" + body;
        co_await asio::async_write(connection, asio::buffer(text), into(fault));
        if (fault)
            co_return;
    }
}

task store::wait_for_change(std::uint64_t after, std::uint64_t milliseconds)
{
    const auto limit = clock::now() + std::chrono::milliseconds(milliseconds);
    while (this->revision <= after && clock::now() < limit)
        co_await pause(this->context, watch_step);
}

std::string store::items_after(const char* list, std::uint64_t after) const
{
    auto found = nlohmann::json::array();
    for (const auto& [key, one] : this->items) {
        if (one.revision > after)
            found.push_back({{"key", key},
                             {"value", one.value},
                             {"revision", one.revision},
                             {"createdAt", one.revision},
                             {"leaseId", 0}});
    }
    return nlohmann::json{
        {list, found}, {"hasMore", false}, {"at", this->revision}}
        .dump();
}

} // namespace soak
