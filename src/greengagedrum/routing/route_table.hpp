// Finds routes, workspaces and services in one version of the configuration.
//
// Routes are looked up by host and by each prefix of the path that ends in a
// slash, the longest first. The cost grows with the depth of the path, not with
// the number of routes.
#pragma once

#include <greengagedrum/routing/configuration.hpp>

#include <string_view>
#include <unordered_map>

namespace greengagedrum::routing
{

class route_table
{
public:
    explicit route_table(configuration_ptr config);

    const configuration& config() const { return *this->published; }

    // `host`: as received. `path`: without the query. Null if no route matches.
    const route* find_route(std::string_view host, std::string_view path) const;

    const route* find_route(base::kind_id id) const;

    // Null if no workspace has this key.
    const workspace* find_workspace(std::string_view key) const;
    // Null if this version has no such workspace.
    const workspace* find_workspace(base::workspace_id id) const;

    const service* find_service(base::upstream_class_id id) const;

    // 0 is the highest. Orders by the workspace's priority first, then by the
    // route's. Priorities that no workspace or route uses are skipped.
    std::uint32_t effective_priority(const route& matched_route,
                                     const workspace* owner) const;

    // Picks a target by weight; `random` is in [0, 1).
    static const route_target& pick_target(const route& matched_route,
                                           double random);

private:
    configuration_ptr published;
    std::unordered_map<std::string, const route*> by_prefix;
    std::unordered_map<base::kind_id, const route*> by_id;
    std::unordered_map<std::string_view, const workspace*> by_key;
    std::unordered_map<base::upstream_class_id, const service*> by_service;
    std::vector<std::uint32_t> route_priorities; // the distinct ones, sorted
    std::vector<std::uint32_t> workspace_priorities; // the same
};

using route_table_ptr = std::shared_ptr<const route_table>;

// Lower case, without a port, as in `route::host`.
std::string normalized_host(std::string_view host);

} // namespace greengagedrum::routing
