// Requests of one entry to another for configuration items, and their answers.
#pragma once

#include <greengagedrum/entry/cluster_state.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace greengagedrum::entry
{

// A request to a peer for configuration items: those above a revision of the
// store, or, with an incarnation, those changed after a change count of that
// incarnation of the peer.
struct item_query {
    std::uint64_t position = 0;
    std::optional<base::incarnation> incarnation;
    // The answer may be compressed, against the configuration item of this
    // revision, which the asking entry holds; 0: it holds none.
    std::optional<std::uint64_t> held_configuration;
    // The asking entry, if it can be referred to another one.
    std::optional<gossip::ipv4_address> asking;
};

// The HTTP request target of a query, and its parser; empty if `target` is
// malformed.
std::string item_query_target(const item_query& query);
std::optional<item_query> parse_item_query(std::string_view target);

// The body of the answer to a query, from the entry of that incarnation.
std::string answer_item_query(const item_query& query,
                              const cluster_state& cluster,
                              base::incarnation incarnation);

} // namespace greengagedrum::entry
