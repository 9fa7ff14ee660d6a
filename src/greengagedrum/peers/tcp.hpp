// Non-blocking TCP sockets by "IP:port", as the peer links need them.
//
// It holds no state and waits for nothing; an empty descriptor says that the
// system refused.
#pragma once

#include <greengagedrum/peers/descriptor.hpp>

#include <string>
#include <string_view>

namespace greengagedrum::peers
{

// Port 0 takes any free port; see `local_address`.
descriptor listen_at(std::string_view address);

// Begins to connect; the socket turns writable when it has.
descriptor begin_connect(std::string_view address);

// True when the connect begun has succeeded.
bool connected(const descriptor& socket);

// Empty when nobody waits.
descriptor accept_from(const descriptor& listener);

// "IP:port"; empty when it has none.
std::string local_address(const descriptor& socket);

} // namespace greengagedrum::peers
