// Reads the store: all items once, then what changes, by one watch at a time
// with a pause after each.
//
// Every upstream reports several times in a few seconds, so a watch returns at
// once whenever it is asked; the pause bounds what is asked of the store. A
// watch waits for half a second at most, so that a connection which has gone
// silent is noticed.
#pragma once

#include <greengagedrum/base/ip_address.hpp>
#include <greengagedrum/base/time.hpp>
#include <greengagedrum/relay/http_get.hpp>
#include <greengagedrum/routing/store_item.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace greengagedrum::entry
{

struct store_events {
    // All items (`whole`) or what changed since the last call.
    std::function<void(
        const routing::store_item_list& items, std::uint64_t as_of, bool whole)>
        news;
    // Some of all items, before the rest of them has come: true of them, and no
    // sign that anything else is known.
    std::function<void(const routing::store_item_list& items)> part;
    std::function<void(const std::string& why)> failed;
    std::function<void()> answered;
    // True while another entry reads for this one.
    std::function<bool()> may_rest;
};

class store_reader
{
public:
    store_reader(relay::asio::io_context& context,
                 const base::ip_endpoint& store,
                 store_events events);

    // Between two watches, of the time in which a change is to be in force.
    static base::duration pause_of(base::duration bound);
    void set_bound(base::duration bound) { this->pause = pause_of(bound); }

    void start();

    // Ask now: what is known may be old.
    void hurry();

    // A peer has passed all up to that revision.
    void known_up_to(std::uint64_t as_of);

    // The last call failed.
    bool failing() const { return this->failures > 0; }

    void stop();

private:
    void ask();
    void ask_page();
    void ask_watch();
    void on_page(const relay::fetched& got);
    void on_watch(const relay::fetched& got);
    void on_part(routing::store_item_list& items);
    void watch_failed(const std::string& why);
    void again_after(base::duration pause);
    bool rests() const;
    void failed(const std::string& why);

    relay::asio::steady_timer timer;
    std::shared_ptr<relay::http_get> client;
    base::ip_endpoint store;
    store_events events;
    routing::store_item_list pages; // of a whole reading under way
    std::string last_key;
    std::uint64_t pages_as_of = 0;
    base::duration pause{0}; // between watches
    std::uint64_t after = 0; // revision read up to; 0: all is to be read
    std::uint32_t failures = 0;
    bool asking = false;
    bool stopped = false;
};

} // namespace greengagedrum::entry
