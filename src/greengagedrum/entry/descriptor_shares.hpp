// How the descriptors of a process are shared out, so that many callers take
// none that upstreams, the store and peers need.
#pragma once

#include <cstddef>
#include <cstdint>

namespace greengagedrum::entry
{

struct descriptor_shares {
    // Connections of callers; a request in progress has one more, to an
    // upstream.
    std::size_t callers = 1800;
    // Connections of peers to the control port.
    std::size_t peers = 512;
    // Requests of peers, each with two connections.
    std::size_t tunnels = 256;
    // Connections to the port for readiness, and as many to the one for
    // metrics.
    std::size_t operators = 8;
};

// `granted`: by the platform, 0 if unknown; `process_limit`: the kernel's.
descriptor_shares share_descriptors(std::uint64_t granted,
                                    std::uint64_t process_limit);

// The kernel's limit of this process.
std::uint64_t descriptor_limit();

} // namespace greengagedrum::entry
