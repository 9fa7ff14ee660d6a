#include <greengagedrum/routing/regions.hpp>

namespace greengagedrum::routing
{

region_distances::region_distances(base::data_centre_id own,
                                   const region_map& regions)
    : own(own), several(routing::spans_regions(regions))
{
    if (!this->several)
        return;
    for (const auto& [data_centre, region] : regions)
        this->names.emplace(base::data_centre_id(data_centre), region);
}

std::string region_distances::region_of(base::data_centre_id data_centre) const
{
    const auto found = this->names.find(data_centre);
    return found == this->names.end() ? std::string() : found->second;
}

distance region_distances::to(base::data_centre_id data_centre) const
{
    if (data_centre == this->own)
        return distance::own_data_centre;
    const std::string region = this->region_of(data_centre);
    const bool near = !this->several ||
                      (!region.empty() && region == this->region_of(this->own));
    return near ? distance::own_region : distance::other_region;
}

} // namespace greengagedrum::routing
