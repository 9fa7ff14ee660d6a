#include <greengagedrum/entry/store_reader.hpp>
#include <greengagedrum/platform/store_calls.hpp>

#include <algorithm>

namespace greengagedrum::entry
{

namespace
{

// Between watches, of the time in which a change is to be in force: the rest is
// for a lost call, and for an entry that learns of it from a peer.
constexpr std::int64_t pause_parts = 5;
constexpr base::duration pause_most = std::chrono::seconds(1);
constexpr base::duration default_bound = std::chrono::seconds(2);

// How soon a resting reader notices that it is to read again.
constexpr auto rest_step = std::chrono::milliseconds(100);

// A watch is answered within this even when nothing changes.
constexpr auto watch_wait = std::chrono::milliseconds(500);

// Longer, and the answer is lost: the store answers in milliseconds.
constexpr auto answer_bound = std::chrono::milliseconds(1100);

// After failures: soon, then less often, so that many entries together leave
// the store room to recover.
constexpr auto failure_pause = std::chrono::milliseconds(100);
constexpr std::uint32_t failure_steps = 4;

// The same while another entry reads for this one.
constexpr base::duration failure_pause_at_rest = std::chrono::seconds(1);

} // namespace

store_reader::store_reader(relay::asio::io_context& context,
                           const base::ip_endpoint& store,
                           store_events events)
    : timer(context), client(std::make_shared<relay::http_get>(context)),
      store(store), events(std::move(events))
{
    this->set_bound(default_bound);
}

base::duration store_reader::pause_of(base::duration bound)
{
    return std::min(bound / pause_parts, pause_most);
}

void store_reader::start()
{
    this->ask();
}

void store_reader::hurry()
{
    if (!this->asking)
        this->ask();
}

void store_reader::known_up_to(std::uint64_t as_of)
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
    for (routing::store_item& one : page->items)
        this->pages.push_back(std::move(one));
    this->failures = 0;
    this->after = this->pages_as_of;
    this->last_key.clear();
    this->events.answered();
    const routing::store_item_list all = std::exchange(this->pages, {});
    this->events.news(all, this->after, true);
    this->again_after(this->pause);
}

// Failure guarded against: another writer's items fill a thousand pages. The
// configuration, on the first of them, doesn't wait for the last.
void store_reader::on_part(routing::store_item_list& items)
{
    if (items.empty() || items.back().key <= this->last_key)
        return this->failed("pages that don't go on");
    this->events.part(items);
    this->last_key = items.back().key;
    for (routing::store_item& one : items)
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

// What has changed may be more than one answer can hold: listed anew, it comes
// in pages.
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
    this->events.answered();
    this->events.news(news->items, this->after, false);
    this->again_after(this->pause);
}

void store_reader::failed(const std::string& why)
{
    this->pages.clear();
    this->last_key.clear();
    this->failures = std::min(this->failures + 1, failure_steps);
    this->events.failed(why);
    const base::duration pause = failure_pause * this->failures;
    this->again_after(this->after > 0 && this->events.may_rest()
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

// One that has failed goes on until it was answered: how long the store was
// away decides what lapses mean.
bool store_reader::rests() const
{
    return this->after > 0 && !this->failing() && this->events.may_rest();
}

} // namespace greengagedrum::entry
