// The last check before a request is sent, whichever entry chose the upstream.
#pragma once

#include <greengagedrum/routing/data_centre_constraint.hpp>
#include <greengagedrum/routing/upstream_directory.hpp>

#include <string_view>

namespace greengagedrum::entry
{

// Where a request may run, by the configuration that it was admitted under.
struct send_bounds {
    base::upstream_class_id service;
    routing::data_centre_constraint data_centres;
};

// Why the request must not be sent to the upstream; empty if it may.
std::string_view send_objection(const send_bounds& bounds,
                                const routing::published_upstream& to);

} // namespace greengagedrum::entry
