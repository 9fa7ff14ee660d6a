#include <greengagedrum/routing/regions.hpp>

#include <algorithm>

namespace greengagedrum::routing
{

region_distances::region_distances(base::data_centre_id own,
                                   const region_map& regions)
    : own(own), several(routing::spans_regions(regions))
{
    if (!this->several)
        return;
    for (const auto& [name, region] : regions) {
        const base::data_centre_id data_centre(name);
        if (same_region(regions, own, data_centre))
            this->in_own_region.push_back(data_centre);
    }
}

distance region_distances::to(base::data_centre_id data_centre) const
{
    if (data_centre == this->own)
        return distance::own_data_centre;
    const bool near =
        !this->several || std::find(this->in_own_region.begin(),
                                    this->in_own_region.end(),
                                    data_centre) != this->in_own_region.end();
    return near ? distance::own_region : distance::other_region;
}

} // namespace greengagedrum::routing
