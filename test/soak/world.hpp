// Two regions with entries, upstreams and a store, and the links between them.
//
// Every party has a loopback address of its own. An entry asks its peers at
// their addresses and its own control port, so the entries of the two regions
// have different control ports, and each address has a link at the other
// region's port. Datagrams go directly.
#pragma once

#include "coroutine.hpp"
#include "entry_process.hpp"
#include "ledger.hpp"
#include "link.hpp"
#include "options.hpp"
#include "store.hpp"
#include "upstream.hpp"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace soak
{

// Links that are disturbed together.
struct link_group {
    std::string name;
    std::vector<link*> links;
    std::optional<std::size_t> callers_of; // the entry
    bool to_upstream = false;
};

class world
{
public:
    static constexpr std::size_t entry_count = 4;
    static constexpr std::size_t upstream_count = 4;

    world(asio::io_context& context, const options& given, ledger& ledger);
    world(const world&) = delete;
    world& operator=(const world&) = delete;

    // A crashed upstream returns as another life of it.
    void set_upstream(std::size_t which, upstream_state state);

    // Where callers connect to an entry.
    tcp::endpoint callers_address(std::size_t entry) const;

    std::vector<link_group> groups;
    std::vector<std::unique_ptr<entry_process>> entries;

private:
    link* add_link(const tcp::endpoint& listening, const tcp::endpoint& target);
    void add_store();
    void add_upstreams();
    void add_entries();
    void publish_upstream(std::size_t which);
    std::string settings_of(std::size_t entry) const;

    asio::io_context& context;
    const options& given;
    ledger& records;
    std::unique_ptr<store> published;
    std::vector<std::unique_ptr<upstream>> upstreams;
    std::vector<upstream_state> upstream_states;
    std::vector<std::uint64_t> lives; // of the upstreams
    std::vector<std::unique_ptr<link>> links;
};

} // namespace soak
