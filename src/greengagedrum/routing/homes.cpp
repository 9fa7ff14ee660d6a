#include <greengagedrum/routing/homes.hpp>

#include <algorithm>

namespace greengagedrum::routing
{

namespace
{

bool names(const std::vector<std::string>& regions, const std::string& region)
{
    return regions.empty() ||
           std::find(regions.begin(), regions.end(), region) != regions.end();
}

} // namespace

bool homes::allow(base::data_centre_id where) const
{
    return !this->bound || std::find(this->data_centres.begin(),
                                     this->data_centres.end(),
                                     where) != this->data_centres.end();
}

homes homes_of(const route& of,
               const workspace* owner,
               const region_map& regions)
{
    homes out;
    out.bound =
        !of.regions.empty() || (owner != nullptr && !owner->regions.empty());
    if (!out.bound)
        return out;
    for (const auto& [data_centre, region] : regions) {
        if (names(of.regions, region) &&
            (owner == nullptr || names(owner->regions, region)))
            out.data_centres.emplace_back(data_centre);
    }
    return out;
}

} // namespace greengagedrum::routing
