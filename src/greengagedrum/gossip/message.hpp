// What one entry tells the others of itself, whole in each datagram.
#pragma once

#include <greengagedrum/base/ids.hpp>
#include <greengagedrum/base/time.hpp>
#include <greengagedrum/dispatch/messages.hpp>
#include <greengagedrum/quarantine/messages.hpp>
#include <greengagedrum/quota/usage_limiter.hpp>
#include <greengagedrum/routing/store_item.hpp>
#include <greengagedrum/traffic/scheduler.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace greengagedrum::gossip
{

// An IPv4 address in the order of its digits: 10.1.0.25 is 0x0a010019.
using ipv4_address = std::uint32_t;

struct known_entry {
    ipv4_address address = 0;
    base::duration age{0}; // since it was last heard
    base::data_centre_id data_centre{};
    std::uint32_t cpu_millicores = 0; // thousandths of a processor
};

enum class message_kind : std::uint8_t {
    load,             // what the sender uses, where each entry places its own
    report,           // to the entry that places the sender's requests
    reply,            // and back
    dispatcher_query, // asks who places requests where the sender is
    dispatcher_query_reply,
    // The same as a load, from one that places for all of its data centre.
    dispatcher_load,
};

struct message {
    message_kind kind = message_kind::load;
    // Another entry places the sender's requests.
    bool delegating = false;
    // The sender places requests of others.
    bool dispatching = false;
    base::incarnation incarnation;
    std::uint64_t sequence = 0; // grows with each message of a life
    std::string instance;
    std::string data_centre;
    ipv4_address address = 0;
    bool stopping = false;
    std::uint64_t configuration_revision = 0;
    std::uint64_t store_revision = 0; // as of which the upstreams are known
    // How often what the sender believes has changed since its start: whoever
    // has passed on all of them knows what it knows.
    std::uint64_t change_count = 0;
    std::uint64_t state_digest = 0; // alike at entries that believe the same
    // Of the newest change known of configuration or upstreams; reports that
    // change nothing move the store's revision on all the time.
    std::uint64_t change_revision = 0;
    base::duration store_age{0}; // since the store last answered the sender
    std::vector<traffic::upstream_load> upstream_loads;
    std::vector<traffic::queue_report> queue_reports;
    std::vector<quota::workspace_usage> workspace_usage;
    std::vector<known_entry> known_entries;
    std::uint32_t cpu_millicores = 0; // thousandths of a processor
    base::duration uptime{0};         // the sender's process, at least
    dispatch::member_report report;
    dispatch::dispatcher_reply reply;
    std::vector<quarantine::suspect_report> suspects;
};

// Items of the store that one entry passes to another.
struct item_transfer {
    std::uint64_t store_revision = 0;
    std::uint64_t change_revision = 0; // as in a message
    base::incarnation incarnation;     // of the sender
    std::uint64_t change_count = 0;    // of it
    bool complete = false; // all that there is; what is missing was removed
    routing::store_item_list items;
};

std::string encode(const message& sent);
std::string encode(const item_transfer& sent);

// Empty for bytes that are no sound message.
std::optional<message> decode_message(std::string_view bytes);
std::optional<item_transfer> decode_items(std::string_view bytes);

} // namespace greengagedrum::gossip
