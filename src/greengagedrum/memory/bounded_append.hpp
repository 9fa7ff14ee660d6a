// Appends to a buffer whose capacity counts in an account.
#pragma once

#include <greengagedrum/memory/account.hpp>

#include <string>
#include <string_view>

namespace greengagedrum::memory
{

// A full string doubles its capacity, which could take the account from below
// the last level to far above all that the process has. So `to` grows by at
// most half of what is left below that level.
void append_bounded(std::string& to,
                    std::string_view bytes,
                    const account& counted_in);

} // namespace greengagedrum::memory
