#include <greengagedrum/entry/store_reader.hpp>
#include <greengagedrum/platform/store_calls.hpp>

#include <algorithm>

namespace greengagedrum::entry
{

namespace
{

// The poll interval as a fraction of the time in which a change must be in
// force. The rest of that time is left for one lost call and for entries that
// get the change from a peer.
constexpr std::int64_t pause_parts = 5;
constexpr base::duration pause_most = std::chrono::seconds(1);
constexpr base::duration default_bound = std::chrono::seconds(2);

// How often an idle reader checks whether it must read again.
constexpr auto rest_step = std::chrono::milliseconds(100);

// The store answers a watch within this time even if nothing changed.
constexpr auto watch_wait = std::chrono::milliseconds(500);

// The store answers within milliseconds, so an answer that takes longer than
// this counts as lost.
constexpr auto answer_bound = std::chrono::milliseconds(1100);

// The delay after a failure grows by one step per failure, so that many entries
// together leave the store room to recover.
constexpr auto failure_pause = std::chrono::milliseconds(100);
constexpr std::uint32_t failure_steps = 4;

// Delay after a failure while another entry reads the store for this one.
constexpr base::duration failure_pause_at_rest = std::chrono::seconds(1);

} // namespace

store_reader::store_reader(relay::asio::io_context& context,
                           const base::ip_endpoint& store,
                           store_events events)
    : timer(context), client(std::make_shared<relay::http_get>(context)),
      store(store), events(std::move(events))
{
    this->set_update_bound(default_bound);
}

base::duration store_reader::poll_interval_for(base::duration bound)
{
    return std::min(bound / pause_parts, pause_most);
}

void store_reader::start()
{
    this->ask();
}

void store_reader::poll_now()
{
    if (!this->asking)
        this->ask();
}

void store_reader::skip_to_revision(std::uint64_t as_of)
{
    if (this->after > 0)
        this->after = std::max(this->after, as_of);
}

void store_reader::stop()
{
    this->stopped = true;
    this->timer.cancel();
    this->client->stop();
}

void store_reader::ask()
{
    if (this->stopped)
        return;
    this->timer.cancel();
    this->asking = true;
    if (this->after == 0)
        this->ask_page();
    else
        this->ask_watch();
}

void store_reader::ask_page()
{
    this->client->ask(this->store,
                      platform::range_target("", this->last_key),
                      answer_bound,
                      [this](tl::expected<relay::fetched, std::string> got) {
                          this->asking = false;
                          if (!got)
                              return this->failed(got.error());
                          this->on_page(*got);
                      });
}

void store_reader::on_page(const relay::fetched& got)
{
    if (got.status != relay::status_ok)
        return this->failed("status " + std::to_string(got.status));
    auto page = platform::read_store_answer(got.body);
    if (!page)
        return this->failed("a page that can't be read");
    this->pages_as_of = this->last_key.empty()
                            ? page->as_of
                            : std::min(this->pages_as_of, page->as_of);
    if (page->more)
        return this->on_part(page->items);
    for (routing::published_item& one : page->items)
        this->pages.push_back(std::move(one));
    this->failures = 0;
    this->after = this->pages_as_of;
    this->last_key.clear();
    this->events.call_answered();
    const routing::item_list all = std::exchange(this->pages, {});
    this->events.items_received(all, this->after, true);
    this->again_after(this->pause);
}

// Other programs' items may fill a thousand pages. The configuration, which is
// on the first one, must not wait for the last.
void store_reader::on_part(routing::item_list& items)
{
    if (items.empty() || items.back().key <= this->last_key)
        return this->failed("pages that don't go on");
    this->events.page_received(items);
    this->last_key = items.back().key;
    for (routing::published_item& one : items)
        this->pages.push_back(std::move(one));
    this->ask();
}

void store_reader::ask_watch()
{
    this->client->ask(this->store,
                      platform::watch_target("", this->after, watch_wait),
                      answer_bound,
                      [this](tl::expected<relay::fetched, std::string> got) {
                          this->asking = false;
                          if (!got)
                              return this->watch_failed(got.error());
                          this->on_watch(*got);
                      });
}

// The changes since the last call may be too large for one answer. A full
// listing comes in pages.
void store_reader::watch_failed(const std::string& why)
{
    if (why == relay::too_large)
        this->after = 0;
    this->failed(why);
}

void store_reader::on_watch(const relay::fetched& got)
{
    if (got.status == platform::history_dropped_status) {
        this->after = 0;
        return this->ask();
    }
    if (got.status != relay::status_ok)
        return this->failed("status " + std::to_string(got.status));
    const auto news = platform::read_store_answer(got.body);
    if (!news)
        return this->failed("a watch that can't be read");
    this->failures = 0;
    this->after = std::max(this->after, news->as_of);
    this->events.call_answered();
    this->events.items_received(news->items, this->after, false);
    this->again_after(this->pause);
}

void store_reader::failed(const std::string& why)
{
    this->pages.clear();
    this->last_key.clear();
    this->failures = std::min(this->failures + 1, failure_steps);
    this->events.call_failed(why);
    const base::duration pause = failure_pause * this->failures;
    this->again_after(this->after > 0 && this->events.peer_reads_store()
                          ? failure_pause_at_rest
                          : pause);
}

void store_reader::again_after(base::duration pause)
{
    if (this->stopped)
        return;
    this->timer.expires_after(pause);
    this->timer.async_wait([this](relay::error_code fault) {
        if (fault || this->asking)
            return;
        if (this->rests())
            this->again_after(rest_step);
        else
            this->ask();
    });
}

// After a failure the reader goes on until the store has answered: how long the
// store was unreachable decides how expired leases are treated.
bool store_reader::rests() const
{
    return this->after > 0 && !this->failing() &&
           this->events.peer_reads_store();
}

} // namespace greengagedrum::entry
