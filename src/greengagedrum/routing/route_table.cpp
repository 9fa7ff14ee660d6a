#include <greengagedrum/routing/route_table.hpp>

#include <algorithm>
#include <utility>

namespace greengagedrum::routing
{

namespace
{

// A host can't hold a slash, so host and prefix joined are unambiguous.
std::string joined(std::string_view host, std::string_view prefix)
{
    std::string key(host);
    key += prefix;
    return key;
}

char lower(char letter)
{
    return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter + 32)
                                          : letter;
}

void sort_steps(std::vector<std::uint32_t>& steps)
{
    std::sort(steps.begin(), steps.end());
    steps.erase(std::unique(steps.begin(), steps.end()), steps.end());
}

std::uint32_t step_of(const std::vector<std::uint32_t>& steps,
                      std::uint32_t priority)
{
    const auto found = std::lower_bound(steps.begin(), steps.end(), priority);
    return static_cast<std::uint32_t>(found - steps.begin());
}

} // namespace

std::string normalized_host(std::string_view host)
{
    const std::size_t colon = host.rfind(':');
    const bool bracketed = !host.empty() && host.back() == ']';
    if (colon != std::string_view::npos && !bracketed)
        host = host.substr(0, colon);
    std::string out(host);
    std::transform(out.begin(), out.end(), out.begin(), lower);
    return out;
}

route_table::route_table(configuration_ptr given) : published(std::move(given))
{
    for (const route& one : this->published->routes) {
        this->by_prefix.emplace(joined(one.host, one.prefix), &one);
        this->by_kind.emplace(one.id, &one);
    }
    for (const workspace& one : this->published->workspaces) {
        for (const std::string& key : one.keys)
            this->by_key.emplace(key, &one);
    }
    for (const service& one : this->published->services)
        this->by_service.emplace(one.id, &one);
    for (const route& one : this->published->routes)
        this->route_steps.push_back(one.priority);
    for (const workspace& one : this->published->workspaces)
        this->workspace_steps.push_back(one.priority.value_or(0));
    sort_steps(this->route_steps);
    sort_steps(this->workspace_steps);
}

std::uint32_t route_table::effective_priority(const route& of,
                                              const workspace* owner) const
{
    const std::uint32_t own = step_of(this->route_steps, of.priority);
    if (owner == nullptr)
        return own;
    const std::uint32_t first =
        step_of(this->workspace_steps, owner->priority.value_or(0));
    return first * static_cast<std::uint32_t>(this->route_steps.size()) + own;
}

const route* route_table::find_route(std::string_view host,
                                     std::string_view path) const
{
    const std::string name = normalized_host(host);
    std::size_t end = path.rfind('/');
    while (end != std::string_view::npos) {
        const auto found =
            this->by_prefix.find(joined(name, path.substr(0, end + 1)));
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
    const auto found = this->by_kind.find(id);
    return found == this->by_kind.end() ? nullptr : found->second;
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

const route_target& route_table::pick_target(const route& from, double draw)
{
    double sum = 0;
    for (const route_target& one : from.targets)
        sum += one.weight;
    double mark = draw * sum;
    for (const route_target& one : from.targets) {
        mark -= one.weight;
        if (mark < 0)
            return one;
    }
    return from.targets.back();
}

} // namespace greengagedrum::routing
