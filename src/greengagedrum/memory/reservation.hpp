// Bytes in an account for as long as their owner holds them. Without an account
// (no limit is kept) it does nothing.
#pragma once

#include <greengagedrum/memory/account.hpp>

#include <memory>

namespace greengagedrum::memory
{

class reservation
{
public:
    reservation() = default;
    reservation(std::shared_ptr<account> of,
                kind what,
                base::workspace_id workspace = {});
    ~reservation() { this->resize(0); }
    reservation(reservation&& other) noexcept;
    reservation& operator=(reservation&& other) noexcept;
    reservation(const reservation&) = delete;
    reservation& operator=(const reservation&) = delete;

    std::uint64_t bytes() const { return this->size; }
    void resize(std::uint64_t bytes);
    void set_kind(kind what);
    void set_workspace(base::workspace_id workspace);

private:
    // Shared: connections may outlive the part of the process that made it.
    std::shared_ptr<account> of;
    kind what = kind::request_bodies;
    base::workspace_id workspace;
    std::uint64_t size = 0;
};

} // namespace greengagedrum::memory
