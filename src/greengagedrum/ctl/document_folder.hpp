// Documents as they are kept in version control: one file each.
#pragma once

#include <greengagedrum/config/messages.hpp>

#include <tl/expected.hpp>

#include <string>
#include <vector>

namespace greengagedrum::ctl
{

// Every `*.json` file below `folder`, by name; `template/booths.json` is the
// document `template/booths`. A file in a wrong place gets a name that the
// check refuses, so that a misspelt folder can't pass in silence. The error is
// a line for the user.
tl::expected<std::vector<config::document>, std::string>
read_documents(const std::string& folder);

} // namespace greengagedrum::ctl
