// A caller's HTTP request, checked against the configuration in force.
#pragma once

#include <greengagedrum/callers/problem.hpp>
#include <greengagedrum/config/snapshot.hpp>
#include <greengagedrum/delivery/messages.hpp>
#include <greengagedrum/idempotency/messages.hpp>

#include <tl/expected.hpp>

#include <optional>
#include <string>

namespace httplib
{
struct Request;
}

namespace greengagedrum::idempotency
{
class ticket_codec;
}

namespace greengagedrum::callers
{

struct caller_request {
    config::snapshot_ptr snapshot; // keeps `workspace` and `rules` alive
    const config::workspace_rules* workspace = nullptr;
    const config::kind_rules* rules = nullptr;
    delivery::request_arrived arrival; // `request` is still to be filled in
    std::string upstream_body;         // JSON as the upstream gets it
    bool stream = false;
};

// Names the field at fault and its bound; nothing of the body is echoed.
tl::expected<caller_request, problem>
read_request(const httplib::Request& request,
             config::snapshot_ptr snapshot,
             const idempotency::ticket_codec& tickets);

// The workspace whose bearer token the request carries. An unknown workspace
// and a wrong token are told alike, so that names can't be probed.
tl::expected<const config::workspace_rules*, problem>
authenticate(const httplib::Request& request,
             const config::snapshot& snapshot,
             const std::string& workspace);

} // namespace greengagedrum::callers
