#include <greengagedrum/upstreams/running_call.hpp>

#include <algorithm>

namespace greengagedrum::upstreams
{

bool running_call::begin(httplib::Client& used, std::uint32_t connection)
{
    const std::lock_guard lock(this->mutex);
    if (connection <= this->stopped_through)
        return false;
    this->client = &used;
    this->current = connection;
    return true;
}

void running_call::end()
{
    const std::lock_guard lock(this->mutex);
    this->client = nullptr;
}

void running_call::stop(std::uint32_t connection, bool cancel)
{
    const std::lock_guard lock(this->mutex);
    this->stopped_through = std::max(this->stopped_through, connection);
    if (cancel)
        this->cancelled_through = std::max(this->cancelled_through, connection);
    if (this->client != nullptr && this->current <= connection)
        this->client->stop();
}

bool running_call::stopped(std::uint32_t connection) const
{
    const std::lock_guard lock(this->mutex);
    return connection <= this->stopped_through;
}

bool running_call::cancelled(std::uint32_t connection) const
{
    const std::lock_guard lock(this->mutex);
    return connection <= this->cancelled_through;
}

} // namespace greengagedrum::upstreams
