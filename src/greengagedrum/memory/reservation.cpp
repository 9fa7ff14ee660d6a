#include <greengagedrum/memory/reservation.hpp>

#include <utility>

namespace greengagedrum::memory
{

reservation::reservation(std::shared_ptr<account> of,
                         kind what,
                         base::workspace_id workspace)
    : of(std::move(of)), what(what), workspace(workspace)
{
}

reservation::reservation(reservation&& other) noexcept
    : of(std::move(other.of)), what(other.what), workspace(other.workspace),
      size(std::exchange(other.size, 0))
{
}

reservation& reservation::operator=(reservation&& other) noexcept
{
    if (this == &other)
        return *this;
    this->resize(0);
    this->of = std::move(other.of);
    this->what = other.what;
    this->workspace = other.workspace;
    this->size = std::exchange(other.size, 0);
    return *this;
}

void reservation::resize(std::uint64_t bytes)
{
    if (!this->of || bytes == this->size)
        return;
    if (bytes > this->size)
        this->of->add(this->what, this->workspace, bytes - this->size);
    else
        this->of->subtract(this->what, this->workspace, this->size - bytes);
    this->size = bytes;
}

void reservation::set_kind(kind next)
{
    const std::uint64_t bytes = this->size;
    this->resize(0);
    this->what = next;
    this->resize(bytes);
}

void reservation::set_workspace(base::workspace_id next)
{
    const std::uint64_t bytes = this->size;
    this->resize(0);
    this->workspace = next;
    this->resize(bytes);
}

} // namespace greengagedrum::memory
