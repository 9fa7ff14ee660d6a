#include <greengagedrum/routing/data_centre_constraint.hpp>

#include <algorithm>

namespace greengagedrum::routing
{

namespace
{

bool includes(const std::vector<std::string>& regions,
              const std::string& region)
{
    return regions.empty() ||
           std::find(regions.begin(), regions.end(), region) != regions.end();
}

} // namespace

bool data_centre_constraint::allows(base::data_centre_id data_centre) const
{
    return !this->restricted ||
           std::find(this->data_centres.begin(),
                     this->data_centres.end(),
                     data_centre) != this->data_centres.end();
}

data_centre_constraint data_centre_constraint_of(const route& matched_route,
                                                 const workspace* owner,
                                                 const region_map& regions)
{
    data_centre_constraint out;
    out.restricted = !matched_route.regions.empty() ||
                     (owner != nullptr && !owner->regions.empty());
    if (!out.restricted)
        return out;
    for (const auto& [data_centre, region] : regions) {
        if (includes(matched_route.regions, region) &&
            (owner == nullptr || includes(owner->regions, region)))
            out.data_centres.emplace_back(data_centre);
    }
    return out;
}

} // namespace greengagedrum::routing
