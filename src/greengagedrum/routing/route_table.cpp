#include <greengagedrum/routing/route_table.hpp>

#include <algorithm>
#include <utility>

namespace greengagedrum::routing
{

namespace
{

// A host can't contain a slash, so the joined key is unambiguous.
std::string prefix_key(std::string_view host, std::string_view prefix)
{
    std::string key(host);
    key += prefix;
    return key;
}

char to_lower(char character)
{
    return character >= 'A' && character <= 'Z'
               ? static_cast<char>(character + 32)
               : character;
}

void sort_unique(std::vector<std::uint32_t>& priorities)
{
    std::sort(priorities.begin(), priorities.end());
    priorities.erase(std::unique(priorities.begin(), priorities.end()),
                     priorities.end());
}

std::uint32_t rank_of(const std::vector<std::uint32_t>& priorities,
                      std::uint32_t priority)
{
    const auto found =
        std::lower_bound(priorities.begin(), priorities.end(), priority);
    return static_cast<std::uint32_t>(found - priorities.begin());
}

} // namespace

std::string normalized_host(std::string_view host)
{
    const std::size_t colon = host.rfind(':');
    const bool bracketed = !host.empty() && host.back() == ']';
    if (colon != std::string_view::npos && !bracketed)
        host = host.substr(0, colon);
    std::string out(host);
    std::transform(out.begin(), out.end(), out.begin(), to_lower);
    return out;
}

route_table::route_table(configuration_ptr config)
    : published(std::move(config))
{
    for (const route& one : this->published->routes) {
        this->by_prefix.emplace(prefix_key(one.host, one.prefix), &one);
        this->by_id.emplace(one.id, &one);
    }
    for (const workspace& one : this->published->workspaces) {
        for (const std::string& key : one.keys)
            this->by_key.emplace(key, &one);
    }
    for (const service& one : this->published->services)
        this->by_service.emplace(one.id, &one);
    for (const route& one : this->published->routes)
        this->route_priorities.push_back(one.priority);
    for (const workspace& one : this->published->workspaces)
        this->workspace_priorities.push_back(one.priority.value_or(0));
    sort_unique(this->route_priorities);
    sort_unique(this->workspace_priorities);
}

std::uint32_t route_table::effective_priority(const route& matched_route,
                                              const workspace* owner) const
{
    const std::uint32_t route_rank =
        rank_of(this->route_priorities, matched_route.priority);
    if (owner == nullptr)
        return route_rank;
    const std::uint32_t workspace_rank =
        rank_of(this->workspace_priorities, owner->priority.value_or(0));
    return workspace_rank *
               static_cast<std::uint32_t>(this->route_priorities.size()) +
           route_rank;
}

const route* route_table::find_route(std::string_view host,
                                     std::string_view path) const
{
    const std::string name = normalized_host(host);
    std::size_t end = path.rfind('/');
    while (end != std::string_view::npos) {
        const auto found =
            this->by_prefix.find(prefix_key(name, path.substr(0, end + 1)));
        if (found != this->by_prefix.end())
            return found->second;
        if (end == 0)
            break;
        end = path.rfind('/', end - 1);
    }
    return nullptr;
}

const route* route_table::find_route(base::kind_id id) const
{
    const auto found = this->by_id.find(id);
    return found == this->by_id.end() ? nullptr : found->second;
}

const workspace* route_table::find_workspace(std::string_view key) const
{
    const auto found = this->by_key.find(key);
    return found == this->by_key.end() ? nullptr : found->second;
}

const workspace* route_table::find_workspace(base::workspace_id id) const
{
    const std::vector<workspace>& all = this->published->workspaces;
    const auto found =
        std::find_if(all.begin(), all.end(), [id](const workspace& one) {
            return one.id == id;
        });
    return found == all.end() ? nullptr : &*found;
}

const service* route_table::find_service(base::upstream_class_id id) const
{
    const auto found = this->by_service.find(id);
    return found == this->by_service.end() ? nullptr : found->second;
}

const route_target& route_table::pick_target(const route& matched_route,
                                             double random)
{
    double sum = 0;
    for (const route_target& one : matched_route.targets)
        sum += one.weight;
    double remaining = random * sum;
    for (const route_target& one : matched_route.targets) {
        remaining -= one.weight;
        if (remaining < 0)
            return one;
    }
    return matched_route.targets.back();
}

} // namespace greengagedrum::routing
