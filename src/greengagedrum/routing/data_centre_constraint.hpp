// The data centres that a request may run in.
//
// The operator names regions for a route, a workspace, or both; a request may
// run in a data centre whose region both of them allow.
#pragma once

#include <greengagedrum/base/ids.hpp>
#include <greengagedrum/routing/configuration.hpp>

#include <map>
#include <string>
#include <vector>

namespace greengagedrum::routing
{

// Names of data centres, with the names of their regions.
using region_map = std::map<std::string, std::string>;

// Whether the data centres lie in more than one region.
bool spans_regions(const region_map& regions);

// False if the region of one of the data centres isn't known.
bool same_region(const region_map& regions,
                 base::data_centre_id one,
                 base::data_centre_id other);

struct data_centre_constraint {
    bool restricted = false; // if false, all data centres are allowed
    std::vector<base::data_centre_id> data_centres;

    bool allows(base::data_centre_id data_centre) const;
};

// `owner`: null for a request without a workspace. A data centre whose region
// isn't known is not allowed.
data_centre_constraint data_centre_constraint_of(const route& matched_route,
                                                 const workspace* owner,
                                                 const region_map& regions);

} // namespace greengagedrum::routing
