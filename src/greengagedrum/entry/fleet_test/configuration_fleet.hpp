// A fleet of entries in virtual time that read their configuration from a store
// and from each other while it changes. The store rejects a share of the
// entries; the transfers share links of limited capacity.
#pragma once

#include <greengagedrum/entry/fleet_test/virtual_fleet.hpp>

#include <cstdint>
#include <vector>

namespace greengagedrum::entry::fleet_test
{

struct configuration_plan : fault_plan {
    std::size_t routes = 50; // of the first configuration
    std::size_t routes_added = 1400;
    std::size_t workspaces = 20;
    double routes_added_at = 6; // seconds
    // Seconds at which one workspace gets another key.
    std::vector<double> changes_at;
    // Pages of the first listing, after the document on the first one; 0: the
    // document is all that the store holds.
    std::size_t listing_pages = 0;
    double page_bytes = 170e3;
    double bound = 2;          // seconds until a change is in force
    double rejected_share = 0; // of the entries, by the store
    double rejected_from = 4;  // seconds
};

struct configuration_result {
    // The longest time from a change until an entry has it in force, in
    // seconds; the time that was left if it never has.
    double slowest = 0;
    // Changes not in force in time, summed over entries and changes.
    std::uint64_t late = 0;
    std::uint64_t failed_transfers = 0; // from peers
    std::uint64_t store_calls = 0;
    std::size_t document_bytes = 0; // of the last configuration
    // From the kill of all entries until all have a configuration again.
    double recovery = 0; // seconds; the time that was left if never
    std::uint64_t bytes_between_regions = 0;
    // From the fault of the strong entries on: the longest time in which an
    // entry that delegates got no reply, in seconds; how often entries changed
    // between dispatching and delegating; and the entries that dispatch at the
    // end, of these strong ones.
    double longest_pause = 0;
    std::uint64_t role_changes = 0;
    std::uint64_t late_role_changes = 0; // more than 4 s after the fault
    std::size_t dispatchers = 0;
    std::size_t strong_dispatchers = 0;
};

class configuration_fleet
{
public:
    explicit configuration_fleet(const configuration_plan& plan);

    configuration_result simulate();

private:
    using node = virtual_fleet::node;

    // What an entry's store_reader does.
    struct reader {
        base::instant next_call_at;
        std::uint64_t known_revision = 0; // 0: nothing was read yet
        std::uint32_t failures = 0;
        std::size_t pages_read = 0; // of the listing in progress
        bool calling = false;
    };

    struct change {
        base::instant written_at;
        std::int64_t version = 0;
    };

    virtual_fleet::hooks hooks();
    peer_events events_of(node& entry);
    void write_configuration();
    void apply_due_changes();
    bool is_rejected(std::size_t number) const;
    void read_store(node& one);
    bool is_listing(const reader& own) const;
    double answer_bytes(const reader& own) const;
    void on_page(std::size_t number);
    void on_call_failed(node& one);
    void on_store_answer(std::size_t number, std::uint64_t as_of);
    void record_delays();
    void record_recovery();
    void record_role_change();
    void record_pauses();

    configuration_plan plan;
    std::vector<reader> readers;                          // by entry
    std::vector<std::size_t> changes_in_force;            // by entry
    std::vector<base::instant> served_at;                 // by entry
    std::vector<dispatch::member_request_table> requests; // by entry
    routing::store_item document;
    std::vector<change> changes;
    std::size_t routes = 0;
    std::size_t next_change = 0;
    configuration_result result;
    bool recovered = false; // since all entries were killed
    virtual_fleet fleet;
};

} // namespace greengagedrum::entry::fleet_test
