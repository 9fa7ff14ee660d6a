#include <greengagedrum/admission/running_set.hpp>

#include <algorithm>
#include <limits>

namespace greengagedrum::admission
{

void running_set::add(const running_request& item)
{
    const std::size_t tier = base::index_of(item.work.tier);
    this->requests.emplace(item.request, item);
    this->by_upstream[item.upstream][tier].insert(item.request);
    this->class_counts[item.work.upstream_class][tier] += 1;
}

void running_set::remove(base::request_id request)
{
    const auto found = this->requests.find(request);
    if (found == this->requests.end())
        return;
    const running_request& item = found->second;
    const std::size_t tier = base::index_of(item.work.tier);
    this->by_upstream[item.upstream][tier].erase(request);
    this->class_counts[item.work.upstream_class][tier] -= 1;
    this->requests.erase(found);
}

const running_request* running_set::find(base::request_id request) const
{
    const auto found = this->requests.find(request);
    return found == this->requests.end() ? nullptr : &found->second;
}

std::uint32_t running_set::count(base::upstream_class_id upstream_class,
                                 base::tier tier) const
{
    const auto found = this->class_counts.find(upstream_class);
    if (found == this->class_counts.end())
        return 0;
    return found->second[base::index_of(tier)];
}

std::uint32_t running_set::in_flight(base::upstream_id upstream) const
{
    const auto found = this->by_upstream.find(upstream);
    if (found == this->by_upstream.end())
        return 0;
    std::size_t out = 0;
    for (const auto& tier : found->second)
        out += tier.size();
    return static_cast<std::uint32_t>(out);
}

std::uint32_t running_set::tokens_in_flight(base::upstream_id upstream) const
{
    const auto found = this->by_upstream.find(upstream);
    if (found == this->by_upstream.end())
        return 0;
    std::uint64_t out = 0;
    for (const auto& tier : found->second)
        for (const base::request_id request : tier)
            out += base::tokens_of(this->requests.at(request).work);
    return static_cast<std::uint32_t>(std::min<std::uint64_t>(
        out, std::numeric_limits<std::uint32_t>::max()));
}

bool running_set::has_lower_tier_on(base::upstream_id upstream,
                                    base::tier tier) const
{
    const auto found = this->by_upstream.find(upstream);
    if (found == this->by_upstream.end())
        return false;
    return std::any_of(found->second.begin() + 1 +
                           static_cast<std::ptrdiff_t>(base::index_of(tier)),
                       found->second.end(),
                       [](const auto& requests) { return !requests.empty(); });
}

std::vector<const running_request*>
running_set::lower_tier_requests(base::upstream_id upstream,
                                 base::tier tier) const
{
    std::vector<const running_request*> out;
    const auto found = this->by_upstream.find(upstream);
    if (found == this->by_upstream.end())
        return out;
    for (std::size_t lower = base::tier_count;
         lower-- > base::index_of(tier) + 1;)
        for (const base::request_id request : found->second[lower])
            out.push_back(&this->requests.at(request));
    return out;
}

} // namespace greengagedrum::admission
