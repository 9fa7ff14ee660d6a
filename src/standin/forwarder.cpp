#include <greengagedrum/peers/tcp.hpp>
#include <standin/forwarder.hpp>

#include <poll.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>

namespace standin
{

namespace
{
constexpr std::chrono::milliseconds turn(2);
constexpr std::size_t read_bytes = std::size_t{64} * 1024;
} // namespace

forwarder::forwarder(std::string to)
    : target(std::move(to)),
      listener(greengagedrum::peers::listen_at("127.0.0.1:0")),
      thread([this] { this->run(); })
{
}

forwarder::~forwarder()
{
    {
        const std::lock_guard lock(this->mutex);
        this->stopping = true;
    }
    this->thread.join();
}

std::string forwarder::address() const
{
    return greengagedrum::peers::local_address(this->listener);
}

std::uint64_t forwarder::bytes_carried() const
{
    const std::lock_guard lock(this->mutex);
    return this->carried;
}

void forwarder::set_delay(std::chrono::milliseconds value)
{
    const std::lock_guard lock(this->mutex);
    this->delay = value;
}

void forwarder::silence_open()
{
    const std::lock_guard lock(this->mutex);
    for (const auto& one : this->open)
        one->silent = true;
}

void forwarder::set_silent(bool value)
{
    const std::lock_guard lock(this->mutex);
    this->silent = value;
}

void forwarder::drop_open()
{
    const std::lock_guard lock(this->mutex);
    this->open.clear();
}

void forwarder::set_refuse(bool value)
{
    const std::lock_guard lock(this->mutex);
    this->refuse = value;
}

void forwarder::run()
{
    for (;;) {
        pollfd polled{this->listener.get(), POLLIN, 0};
        ::poll(&polled, 1, static_cast<int>(turn.count()));
        const std::lock_guard lock(this->mutex);
        if (this->stopping)
            return;
        if (polled.revents != 0)
            this->accept_one();
        for (const auto& one : this->open)
            this->serve(*one);
        std::erase_if(this->open, [](const auto& one) { return one->dead; });
    }
}

void forwarder::accept_one()
{
    auto near = greengagedrum::peers::accept_from(this->listener);
    if (!near || this->refuse)
        return;
    auto made = std::make_unique<connection>();
    made->near = std::move(near);
    made->far = greengagedrum::peers::begin_connect(this->target);
    if (!made->far)
        return;
    this->open.push_back(std::move(made));
}

void forwarder::serve(connection& one)
{
    if (one.silent || this->silent)
        return;
    this->read(one.near.get(), one, one.outwards);
    this->read(one.far.get(), one, one.back);
    write(one.far.get(), one, one.outwards);
    write(one.near.get(), one, one.back);
}

void forwarder::read(int from, connection& one, direction& way)
{
    std::array<char, read_bytes> buffer{};
    const ssize_t got = ::recv(from, buffer.data(), buffer.size(), 0);
    const bool early = got < 0 && (errno == EAGAIN || errno == ENOTCONN);
    if (early)
        return;
    if (got <= 0) {
        way.ended = true;
        one.dead = way.held.empty();
        return;
    }
    this->carried += static_cast<std::uint64_t>(got);
    way.held.push_back(
        {clock::now() + this->delay,
         std::string(buffer.data(), static_cast<std::size_t>(got))});
}

void forwarder::write(int to, connection& one, direction& way)
{
    while (!way.held.empty() && way.held.front().due <= clock::now()) {
        std::string& bytes = way.held.front().bytes;
        const ssize_t sent =
            ::send(to, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent < 0 && (errno == EAGAIN || errno == ENOTCONN))
            return;
        if (sent < 0) {
            one.dead = true;
            return;
        }
        bytes.erase(0, static_cast<std::size_t>(sent));
        if (!bytes.empty())
            return;
        way.held.pop_front();
    }
    one.dead = one.dead || (way.ended && way.held.empty());
}

} // namespace standin
