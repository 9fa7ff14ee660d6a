// One account of the bytes that a process holds for its callers, upstreams and
// peers.
//
// Everyone who keeps such bytes has a `reservation` of their size. The account
// itself stops nobody: who can wait asks first, and what can't wait is counted
// and pushes the account over a level, where others give way.
#pragma once

#include <greengagedrum/base/ids.hpp>
#include <greengagedrum/memory/levels.hpp>

#include <array>
#include <cstdint>
#include <string_view>
#include <unordered_map>

namespace greengagedrum::memory
{

// What bytes are held for.
enum class kind : std::uint8_t {
    request_bodies, // read, or kept for another send
    unsent_to_upstreams,
    responses, // not yet read by their callers
    tunnels,
    transfers, // of the configuration, between entries
    gossip,
    connections // read buffers, and what a stopped connection left unread
};
inline constexpr std::size_t kind_count = 7;

std::string_view to_string(kind value);

class account
{
public:
    explicit account(const memory::levels& levels) : bounds(levels) {}

    const memory::levels& levels() const { return this->bounds; }

    std::uint64_t held() const { return this->total; }
    std::uint64_t held(kind what) const
    {
        return this->by_kind.at(static_cast<std::size_t>(what));
    }
    std::uint64_t held(base::workspace_id workspace) const;

    // A body that is larger than the share of a connection is never read.
    bool fits_connection(std::uint64_t body_bytes) const
    {
        return body_bytes <= this->bounds.connection_share;
    }
    bool may_read_body(base::workspace_id workspace,
                       std::uint64_t body_bytes) const;
    bool must_reject() const { return this->total > this->bounds.reject; }
    bool must_end_response() const
    {
        return this->total > this->bounds.end_response;
    }

private:
    friend class reservation;
    void add(kind what, base::workspace_id workspace, std::uint64_t bytes);
    void subtract(kind what, base::workspace_id workspace, std::uint64_t bytes);

    memory::levels bounds;
    std::uint64_t total = 0;
    std::array<std::uint64_t, kind_count> by_kind{};
    std::unordered_map<base::workspace_id, std::uint64_t> by_workspace;
};

} // namespace greengagedrum::memory
