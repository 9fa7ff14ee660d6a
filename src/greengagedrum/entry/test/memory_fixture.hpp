// The part of an entry that serves callers, in one thread, with little memory
// and an upstream that responds to all requests alike or not at all.
#pragma once

#include <greengagedrum/entry/request_handler.hpp>
#include <greengagedrum/entry/stream_versions.hpp>

#include <deque>
#include <string>

namespace greengagedrum::entry
{

class memory_fixture
{
public:
    // `upstream_port`: of a server of the test that replaces the fixture's
    // upstream; `other_port`: of one that serves the route /other/;
    // `workspace_limit`: of the one workspace with a key, in tokens a second;
    // 0: requests carry no key.
    explicit memory_fixture(int upstream_port = 0,
                            int other_port = 0,
                            double workspace_limit = 0);
    // Ends the requests under way: their calls and exchanges own each other.
    ~memory_fixture();
    memory_fixture(const memory_fixture&) = delete;
    memory_fixture& operator=(const memory_fixture&) = delete;

    // A connection with a receive buffer of a few kilobytes, on which `bytes`
    // have been written. Nothing is read from it.
    relay::tcp::socket& call(const std::string& bytes);
    static std::string head(const std::string& path, std::size_t body_bytes);
    // Another entry dispatches; from the end on this one does, which charges
    // its waiting requests to the limits of their workspaces.
    void start_delegating();
    void stop_delegating();
    // Serves until the condition holds; false if it doesn't within two seconds.
    bool run_until(const std::function<bool()>& condition,
                   base::duration most = std::chrono::seconds(2));
    void run_for(base::duration time);
    // What has arrived at a caller so far.
    static std::string received(relay::tcp::socket& from);
    std::uint64_t counted(telemetry::counter what) const
    {
        return this->state.metrics.of(what);
    }

    // Of the upstream; 0 while it is suspected.
    std::uint32_t healthy_slots() const
    {
        return this->state.scheduler.upstreams().total_slots(
            this->state.cluster.routes()->config().services.front().id);
    }

    std::string response; // of the upstream; empty: none
    std::size_t upstream_requests = 0;
    relay::asio::io_context context;
    shared_state state;
    memory::account& account;

private:
    void accept();

    peer_paths paths;
    stream_versions versions;
    relay::tcp::acceptor upstream;
    std::deque<relay::tcp::socket> upstream_connections;
    std::deque<relay::tcp::socket> callers;
    request_handler handler;
};

} // namespace greengagedrum::entry
