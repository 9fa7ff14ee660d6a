#include <greengagedrum/admission/running_set.hpp>

#include <algorithm>
#include <limits>

namespace greengagedrum::admission
{

void running_set::add(const running_request& item)
{
    const std::size_t tier = base::index_of(item.work.tier);
    this->all.emplace(item.request, item);
    this->upstreams[item.upstream][tier].insert(item.request);
    this->classes[item.work.upstream_class][tier] += 1;
}

void running_set::remove(base::request_id request)
{
    const auto found = this->all.find(request);
    if (found == this->all.end())
        return;
    const running_request& item = found->second;
    const std::size_t tier = base::index_of(item.work.tier);
    this->upstreams[item.upstream][tier].erase(request);
    this->classes[item.work.upstream_class][tier] -= 1;
    this->all.erase(found);
}

const running_request* running_set::find(base::request_id request) const
{
    const auto found = this->all.find(request);
    return found == this->all.end() ? nullptr : &found->second;
}

std::uint32_t running_set::count(base::upstream_class_id upstream_class,
                                 base::tier tier) const
{
    const auto found = this->classes.find(upstream_class);
    if (found == this->classes.end())
        return 0;
    return found->second[base::index_of(tier)];
}

std::uint32_t running_set::in_flight(base::upstream_id upstream) const
{
    const auto found = this->upstreams.find(upstream);
    if (found == this->upstreams.end())
        return 0;
    std::size_t out = 0;
    for (const auto& tier : found->second)
        out += tier.size();
    return static_cast<std::uint32_t>(out);
}

std::uint32_t running_set::tokens(base::upstream_id upstream) const
{
    const auto found = this->upstreams.find(upstream);
    if (found == this->upstreams.end())
        return 0;
    std::uint64_t out = 0;
    for (const auto& tier : found->second)
        for (const base::request_id request : tier)
            out += base::tokens_of(this->all.at(request).work);
    return static_cast<std::uint32_t>(std::min<std::uint64_t>(
        out, std::numeric_limits<std::uint32_t>::max()));
}

bool running_set::has_lower_tier_on(base::upstream_id upstream,
                                    base::tier tier) const
{
    const auto found = this->upstreams.find(upstream);
    if (found == this->upstreams.end())
        return false;
    return std::any_of(found->second.begin() + 1 +
                           static_cast<std::ptrdiff_t>(base::index_of(tier)),
                       found->second.end(),
                       [](const auto& own) { return !own.empty(); });
}

std::vector<const running_request*>
running_set::lower_tier_requests(base::upstream_id upstream,
                                 base::tier tier) const
{
    std::vector<const running_request*> out;
    const auto found = this->upstreams.find(upstream);
    if (found == this->upstreams.end())
        return out;
    for (std::size_t low = base::tier_count; low-- > base::index_of(tier) + 1;)
        for (const base::request_id request : found->second[low])
            out.push_back(&this->all.at(request));
    return out;
}

} // namespace greengagedrum::admission
