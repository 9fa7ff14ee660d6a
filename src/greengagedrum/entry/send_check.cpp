#include <greengagedrum/entry/send_check.hpp>

namespace greengagedrum::entry
{

std::string_view send_objection(const send_bounds& bounds,
                                const routing::published_upstream& to)
{
    if (to.service != bounds.service)
        return "upstream of another service";
    if (!bounds.data_centres.allows(base::data_centre_id(to.data_centre)))
        return "data centre not allowed";
    return {};
}

} // namespace greengagedrum::entry
