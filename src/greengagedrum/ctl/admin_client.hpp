// Asks a daemon's admin port.
#pragma once

#include <greengagedrum/base/ip_address.hpp>

#include <tl/expected.hpp>

#include <string>

namespace greengagedrum::ctl
{

// The body of a 2xx answer, or a line for the user.
tl::expected<std::string, std::string>
ask_admin(const base::ip_endpoint& address,
          const std::string& method,
          const std::string& path);

} // namespace greengagedrum::ctl
