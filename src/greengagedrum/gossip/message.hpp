// The gossip messages between entries, as values and as bytes.
//
// Each datagram carries the whole state of its sender, so a lost one is made up
// for by the next.
#pragma once

#include <greengagedrum/base/ids.hpp>
#include <greengagedrum/base/time.hpp>
#include <greengagedrum/dispatch/messages.hpp>
#include <greengagedrum/quarantine/messages.hpp>
#include <greengagedrum/quota/usage_limiter.hpp>
#include <greengagedrum/routing/store_item.hpp>
#include <greengagedrum/traffic/scheduler.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace greengagedrum::gossip
{

// An IPv4 address in host byte order: 10.1.0.25 is 0x0a010019.
using ipv4_address = std::uint32_t;

struct located_entry {
    ipv4_address address = 0;
    base::data_centre_id data_centre;
};

struct known_entry {
    ipv4_address address = 0;
    base::duration age{0}; // since the last message from it
    base::data_centre_id data_centre{};
    std::uint32_t cpu_millicores = 0; // thousandths of a processor
    bool congested = false;
};

enum class message_kind : std::uint8_t {
    load,             // load of the sender, in a full mesh
    report,           // from a member to its dispatcher
    reply,            // from the dispatcher to a member
    dispatcher_query, // asks for the dispatcher of the sender's data centre
    dispatcher_query_reply,
    // A load message of a dispatcher, for its whole data centre.
    dispatcher_load,
    // Asks for all records of crash suspects. The number before it is that of
    // the messages about versions of streams.
    suspect_query = 7,
    suspect_page, // one message of the answer
};

struct message {
    message_kind kind = message_kind::load;
    // The sender delegates the dispatching of its requests to a dispatcher.
    bool delegating = false;
    // The sender is a dispatcher: it dispatches the requests of other entries.
    bool dispatching = false;
    base::incarnation incarnation;
    // Of an answer: the process that it is for. 0: any process at the address,
    // as from an entry of an earlier build.
    base::incarnation recipient;
    std::uint64_t sequence = 0; // increases with each message of an incarnation
    std::string instance;
    std::string data_centre;
    ipv4_address address = 0;
    bool stopping = false;
    std::uint64_t configuration_revision = 0;
    std::uint64_t store_revision = 0; // of the sender's list of upstreams
    // Number of changes of the sender's cluster state since its start. An entry
    // that has applied as many of them has the same state.
    std::uint64_t change_count = 0;
    // Equal at entries with the same cluster state.
    std::uint64_t state_digest = 0;
    // Store revision of the newest known change of configuration or upstreams.
    // The store's own revision also advances with reports that change neither.
    std::uint64_t change_revision = 0;
    base::duration store_age{0}; // since the store's last answer to the sender
    // Shortest connect of the sender to the store; 0: unknown.
    base::duration store_latency{0};
    std::vector<traffic::upstream_load> upstream_loads;
    std::vector<traffic::queue_report> queue_reports;
    std::vector<quota::workspace_usage> workspace_usage;
    std::vector<known_entry> known_entries;
    std::uint32_t cpu_millicores = 0; // thousandths of a processor
    // See duty_fitness.
    bool congested = false;
    std::uint64_t link_bytes_per_second = 0; // 0: unknown
    // Uptime of the sender's process: a lower bound, capped at an hour.
    base::duration uptime{0};
    dispatch::member_report report;
    dispatch::dispatcher_reply reply;
    std::vector<quarantine::suspect_report> suspects;
    quarantine::suspect_query suspect_query; // of that kind of message
    quarantine::suspect_page suspect_page;   // describes `suspects`
    // What the sender's entries have recently read in upstreams' responses.
    std::vector<traffic::announced_limit> rate_limits;
    // Permits that the sender needs for limited upstreams, and those that it
    // gives to the recipient alone.
    std::vector<traffic::limit_need> limit_needs;
    traffic::limit_grant limit_grant;
    // The sender reads compressed messages, and sends to entries of other
    // regions at the longer interval. False for entries of earlier versions.
    bool accepts_compressed = false;
};

// Items of the store that one entry sends to another.
struct item_transfer {
    std::uint64_t store_revision = 0;
    std::uint64_t change_revision = 0; // as in a message
    base::incarnation incarnation;     // of the sender
    std::uint64_t change_count = 0;    // of the sender
    bool complete = false; // all items; those not listed were removed
    routing::store_item_list items;
};

// An answer in place of items: the sender is busy with other transfers.
struct transfer_referral {
    // The entry to ask instead; 0: the sender itself, later.
    ipv4_address ask_instead = 0;
};

// A configuration that both sides of a transfer hold: transfers are compressed
// against it. Revision 0: none.
struct reference_document {
    std::uint64_t revision = 0; // in the store
    std::string_view text;
};

inline reference_document no_reference(std::uint64_t /* revision */)
{
    return {};
}

std::string encode(const message& sent);
// Compressed if that makes it shorter. Only for entries that accept it.
std::string encode_compressed(const message& sent);
std::optional<message> decode_compressed_message(std::string_view bytes);
std::string encode(const item_transfer& sent);
std::string encode(const transfer_referral& sent);
std::string encode_compressed(const item_transfer& sent,
                              const reference_document& reference);

// Reads compressed messages too. Empty if the bytes are not a valid message.
std::optional<message> decode_message(std::string_view bytes);
// Empty if the bytes are not a referral.
std::optional<transfer_referral> decode_referral(std::string_view bytes);
// Finds the configuration of a revision; none if it is not held.
using reference_lookup =
    std::function<reference_document(std::uint64_t revision)>;
// Empty also if the items were compressed against a document that is not held.
std::optional<item_transfer>
decode_items(std::string_view bytes,
             const reference_lookup& find_reference = no_reference);

} // namespace greengagedrum::gossip
