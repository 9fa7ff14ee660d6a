// A fleet of entries before cold upstreams, one in each data centre, with more
// requests at each entry than they take, in virtual time. Each entry sends its
// own requests: what may be sent in all is what the shares let through.
#pragma once

#include <greengagedrum/entry/fleet_test/virtual_fleet.hpp>

#include <deque>
#include <vector>

namespace greengagedrum::entry::fleet_test
{

struct slow_start_plan : fault_plan {
    std::uint32_t sends = 7; // to a cold upstream in a second
};

struct slow_start_result {
    std::uint32_t max_per_second = 0; // sends to one upstream in any second
    std::uint64_t sends = 0;          // in all
};

class slow_start_fleet
{
public:
    explicit slow_start_fleet(const slow_start_plan& plan);

    slow_start_result simulate();

private:
    using node = virtual_fleet::node;

    virtual_fleet::hooks hooks();
    peer_events events_of(node& of);
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
