// Reads the store: first all items, then changes, by one watch at a time with a
// pause after each.
//
// Every upstream reports several times within a few seconds, so a watch nearly
// always returns at once; the pause bounds the load on the store. A watch waits
// for half a second at most, so that a dead connection is noticed.
#pragma once

#include <greengagedrum/base/ip_address.hpp>
#include <greengagedrum/base/time.hpp>
#include <greengagedrum/relay/http_get.hpp>
#include <greengagedrum/routing/store_item.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace greengagedrum::entry
{

struct store_events {
    // All items (`complete`), or those changed since the last call.
    std::function<void(const routing::store_item_list& items,
                       std::uint64_t as_of,
                       bool complete)>
        items_received;
    // A part of all items, reported before the rest is read. The items are
    // valid, but the call does not mean that anything else is up to date.
    std::function<void(const routing::store_item_list& items)> page_received;
    std::function<void(const std::string& why)> call_failed;
    std::function<void()> call_answered;
    // True while another entry reads the store for this one.
    std::function<bool()> peer_reads_store;
    // True while the first listing is left to another entry, which passes it
    // on.
    std::function<bool()> awaits_listing = [] { return false; };
};

class store_reader
{
public:
    store_reader(relay::asio::io_context& context,
                 const base::ip_endpoint& store,
                 store_events events);

    // The store begins to answer within milliseconds, so a longer silence
    // counts as a lost answer. A page of about a megabyte takes seconds on a
    // slow link.
    static constexpr relay::answer_limits call_limits{
        std::chrono::milliseconds(1100), std::chrono::seconds(8)};

    // The pause between two watches if changes must be in force within `bound`.
    static base::duration poll_interval_for(base::duration bound);
    void set_update_bound(base::duration bound)
    {
        this->poll_interval = poll_interval_for(bound);
    }

    void start();

    // Calls the store now, for example when the known state may be outdated.
    void poll_now();

    // Reads what has changed, by a call that begins after this one. All that
    // the store had acknowledged before is then known, and `on_end` is called
    // with true; with false if the store doesn't answer or all items would have
    // to be read. Those that ask while such a call is under way share the next.
    using read_handler = std::function<void(bool complete)>;
    void read_through(read_handler on_end);

    // All items up to this revision were received from a peer.
    void skip_to_revision(std::uint64_t as_of);

    // A peer has passed on a complete listing as of this revision.
    void adopt_listing(std::uint64_t as_of);

    // Whether an interrupted listing goes on at the page that failed instead of
    // beginning again, which would fill a narrow link with the same pages.
    void set_resuming(bool resumes) { this->resumes_listings = resumes; }

    // True if the last call failed.
    bool failing() const { return this->failures > 0; }

    void stop();

private:
    void start_read_through(std::vector<read_handler> served);
    void end_read_through(std::span<const read_handler> served, bool complete);
    // The number of changes; nothing if the call failed.
    std::optional<std::size_t> apply_read_through(
        const tl::expected<relay::fetched, std::string>& response);
    void start_call();
    void request_page();
    void request_watch();
    void on_page(const relay::fetched& response);
    void on_page_failed(const std::string& why);
    void on_watch(const relay::fetched& response);
    void on_partial_page(routing::store_item_list& items);
    void on_watch_failed(const std::string& why);
    void schedule_next_call(base::duration pause);
    bool is_idle() const;
    void on_failure(const std::string& why);

    relay::asio::steady_timer timer;
    std::shared_ptr<relay::http_get> client;
    std::shared_ptr<relay::http_get> read_through_client;
    std::vector<read_handler> awaiting_read_through;
    bool reading_through = false;
    base::ip_endpoint store;
    store_events events;
    routing::store_item_list pages; // the pages of a full listing in progress
    std::string last_key;
    std::uint64_t pages_revision = 0;
    base::duration poll_interval{0}; // pause between watches
    std::uint64_t last_revision = 0; // 0: all items are to be read
    std::uint32_t failures = 0;
    bool call_in_progress = false;
    bool resumes_listings = false;
    bool stopped = false;
};

} // namespace greengagedrum::entry
