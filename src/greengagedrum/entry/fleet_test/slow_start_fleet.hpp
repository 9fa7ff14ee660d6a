// A fleet of entries in virtual time with one cold upstream per data centre and
// more requests at each entry than these upstreams take. Each entry sends its
// own requests, so the total is bounded only by the entries' shares of the
// upstreams' start rates.
#pragma once

#include <greengagedrum/entry/fleet_test/virtual_fleet.hpp>

#include <deque>
#include <vector>

namespace greengagedrum::entry::fleet_test
{

struct slow_start_plan : fault_plan {
    std::uint32_t sends = 7; // allowed to a cold upstream in a second
};

struct slow_start_result {
    // The most sends to one upstream in any second.
    std::uint32_t max_per_second = 0;
    std::uint64_t sends = 0; // in total
};

class slow_start_fleet
{
public:
    explicit slow_start_fleet(const slow_start_plan& plan);

    slow_start_result simulate();

private:
    using node = virtual_fleet::node;

    virtual_fleet::hooks hooks();
    peer_events events_of(node& entry);
    void configure(node& one);
    void submit_request(node& one);
    void record_send(base::upstream_id upstream);
    routing::published_upstream published(std::size_t data_centre) const;

    slow_start_plan plan;
    std::vector<dispatch::member_request_table> books;   // by entry
    std::vector<std::deque<base::instant>> recent_sends; // by data centre
    virtual_fleet fleet;
    std::uint64_t next_request = 1;
    slow_start_result result;
};

} // namespace greengagedrum::entry::fleet_test
