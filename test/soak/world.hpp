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

#include <array>
#include <memory>
#include <string>
#include <vector>

namespace soak
{

class world
{
public:
    static constexpr std::size_t large_entries = 2; // the first ones
    static constexpr std::size_t upstream_count = 6;

    world(asio::io_context& context, const options& given, ledger& ledger);
    world(const world&) = delete;
    world& operator=(const world&) = delete;

    // Also after a crash: another life of the upstream begins.
    void publish_upstream(std::size_t number);

    // Its port is closed on both sides of its link until it is back as an
    // incarnation of another name.
    void crash_upstream(std::size_t number);
    void return_upstream(std::size_t number);

    // Where callers connect to an entry.
    static tcp::endpoint callers_address(std::size_t entry);
    // Where it listens to them, to its peers and for its metrics.
    static std::array<tcp::endpoint, 3> ports_of(std::size_t entry);

private:
    link* add_link(const tcp::endpoint& listening, const tcp::endpoint& target);
    void add_upstream(std::size_t number);
    void add_entry(std::size_t number);
    std::string settings_of(std::size_t entry) const;

    asio::io_context& context;
    const options& given;
    ledger& records;
    store published;
    std::vector<std::unique_ptr<link>> links;
    std::array<std::uint64_t, upstream_count> lives{};

public:
    std::vector<std::unique_ptr<entry_process>> entries;
    std::vector<std::unique_ptr<upstream>> upstreams;
    std::vector<link*> caller_links;   // to each entry
    std::vector<link*> upstream_links; // to each upstream
    std::vector<link*> store_links;    // of each region
    std::vector<link*> region_links;   // to each entry from the other region
};

} // namespace soak
