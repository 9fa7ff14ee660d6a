// The platform's JSON answers as typed messages.
#pragma once

#include <greengagedrum/config/messages.hpp>
#include <greengagedrum/membership/messages.hpp>

#include <optional>
#include <string_view>

namespace greengagedrum::config_service
{

// Empty when the text is not of the documented shape; a part is never taken.
std::optional<config::document_set> read_documents(std::string_view text);
std::optional<membership::instance_list> read_instances(std::string_view text);

} // namespace greengagedrum::config_service
