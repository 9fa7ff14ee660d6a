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

const std::string* region_of(const region_map& regions,
                             base::data_centre_id data_centre)
{
    const auto found =
        std::find_if(regions.begin(), regions.end(), [&](const auto& one) {
            return base::data_centre_id(one.first) == data_centre;
        });
    return found == regions.end() ? nullptr : &found->second;
}

} // namespace

bool spans_regions(const region_map& regions)
{
    return std::any_of(regions.begin(), regions.end(), [&](const auto& one) {
        return one.second != regions.begin()->second;
    });
}

bool same_region(const region_map& regions,
                 base::data_centre_id one,
                 base::data_centre_id other)
{
    const std::string* first = region_of(regions, one);
    const std::string* second = region_of(regions, other);
    return first != nullptr && second != nullptr && *first == *second;
}

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
