// A template and a workspace made into the workspace's rules.
#pragma once

#include <greengagedrum/config/fault.hpp>
#include <greengagedrum/config/snapshot.hpp>
#include <greengagedrum/config/template_parser.hpp>
#include <greengagedrum/config/workspace_parser.hpp>

namespace greengagedrum::config
{

// Faults of the workspace against its template: a parameter that the template
// does not have, or a value that it does not take. Empty: they fit.
fault_list check_fit(const request_template& from,
                     const workspace_document& workspace);

// The rules; only for a template and a workspace that fit.
workspace_rules render(const request_template& from,
                       const workspace_document& workspace);

} // namespace greengagedrum::config
