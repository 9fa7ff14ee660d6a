// How far away other data centres are.
//
// Data centres of a region are less than a millisecond apart, regions more than
// ten, and the link between regions is narrow and paid for by the byte.
#pragma once

#include <greengagedrum/base/ids.hpp>
#include <greengagedrum/routing/data_centre_constraint.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace greengagedrum::routing
{

enum class distance : std::uint8_t {
    own_data_centre,
    own_region,
    other_region,
};

class region_distances
{
public:
    region_distances() = default;
    region_distances(base::data_centre_id own, const region_map& regions);

    bool spans_regions() const { return this->several; }

    // A data centre whose region isn't known counts as one of another region if
    // there are several, and of the own region otherwise.
    distance to(base::data_centre_id data_centre) const;

    // Empty if it isn't known.
    std::string region_of(base::data_centre_id data_centre) const;

private:
    base::data_centre_id own;
    bool several = false;
    std::map<base::data_centre_id, std::string> names; // if there are several
};

} // namespace greengagedrum::routing
