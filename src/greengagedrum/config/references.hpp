// Whether what templates and workspaces name is there in the fleet.
#pragma once

#include <greengagedrum/config/fault.hpp>
#include <greengagedrum/config/fleet.hpp>
#include <greengagedrum/config/template_parser.hpp>
#include <greengagedrum/config/workspace_parser.hpp>

namespace greengagedrum::config
{

// Kinds of the template, with its defaults, that no upstream could serve: a
// class without upstreams, or a model that none of the class holds.
void check_template_references(const fleet& in,
                               const request_template& from,
                               fault_list& faults);

// An unknown home, or a class or model set by a parameter of the workspace
// that no upstream could serve. The two must fit (render.hpp).
void check_workspace_references(const fleet& in,
                                const request_template& from,
                                const workspace_document& workspace,
                                fault_list& faults);

} // namespace greengagedrum::config
