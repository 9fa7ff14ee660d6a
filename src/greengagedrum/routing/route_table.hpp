// Finds the route of a request and the workspace of a key, in one version of
// the configuration.
//
// Routes are looked up by host and by each beginning of the path that ends in
// a slash, the longest first: the cost grows with the depth of the path, not
// with the number of routes.
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

    // `host` as received; `path` without its query. Null: no such route.
    const route* find_route(std::string_view host, std::string_view path) const;

    const route* find_route(base::kind_id id) const;

    // Null: no workspace has this key.
    const workspace* find_workspace(std::string_view key) const;
    // Null: this version has none of that id.
    const workspace* find_workspace(base::workspace_id id) const;

    const service* find_service(base::upstream_class_id id) const;

    // 0 is the most urgent. A workspace's own priority goes before the
    // route's, which orders the requests of workspaces alike; steps that no
    // workspace or route uses are left out.
    std::uint32_t effective_priority(const route& matched_route,
                                     const workspace* owner) const;

    // `draw` in [0, 1) picks a target by weight.
    static const route_target& pick_target(const route& matched_route,
                                           double random);

private:
    configuration_ptr published;
    std::unordered_map<std::string, const route*> by_prefix;
    std::unordered_map<base::kind_id, const route*> by_id;
    std::unordered_map<std::string_view, const workspace*> by_key;
    std::unordered_map<base::upstream_class_id, const service*> by_service;
    std::vector<std::uint32_t> route_priorities; // priorities in use, sorted
    std::vector<std::uint32_t> workspace_priorities; // the same
};

using route_table_ptr = std::shared_ptr<const route_table>;

// Lower case and without a port, as `route::host` is kept.
std::string normalized_host(std::string_view host);

} // namespace greengagedrum::routing
