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
constexpr std::int64_t poll_interval_divisor = 5;
constexpr base::duration max_poll_interval = std::chrono::seconds(1);
constexpr base::duration default_bound = std::chrono::seconds(2);

// How often an idle reader checks whether it must read again.
constexpr auto idle_check_interval = std::chrono::milliseconds(100);

// The store answers a watch within this time even if nothing changed.
constexpr auto watch_timeout = std::chrono::milliseconds(500);

// A call that only brings the state up to date doesn't wait for changes. Its
// callers have been promised an answer.
constexpr auto read_through_wait = std::chrono::milliseconds(1);
constexpr relay::answer_limits read_through_limits{
    std::chrono::milliseconds(600), std::chrono::seconds(2)};

// An answer with so many changes may not be the last one.
constexpr std::size_t full_answer_items = 500;

// The delay after a failure grows by one step per failure, so that many entries
// together leave the store room to recover.
constexpr auto backoff_step = std::chrono::milliseconds(100);
constexpr std::uint32_t max_backoff_steps = 4;

// Delay after a failure while another entry reads the store for this one.
constexpr base::duration idle_backoff = std::chrono::seconds(1);

} // namespace

store_reader::store_reader(relay::asio::io_context& context,
                           const base::ip_endpoint& store,
                           store_events events)
    : timer(context), client(std::make_shared<relay::http_get>(context)),
      read_through_client(std::make_shared<relay::http_get>(context)),
      store(store), events(std::move(events))
{
    this->set_update_bound(default_bound);
}

base::duration store_reader::poll_interval_for(base::duration bound)
{
    return std::min(bound / poll_interval_divisor, max_poll_interval);
}

void store_reader::start()
{
    if (this->is_idle())
        this->schedule_next_call(idle_check_interval);
    else
        this->start_call();
}

void store_reader::poll_now()
{
    if (!this->call_in_progress)
        this->start_call();
}

void store_reader::skip_to_revision(std::uint64_t as_of)
{
    if (this->last_revision > 0)
        this->last_revision = std::max(this->last_revision, as_of);
}

void store_reader::adopt_listing(std::uint64_t as_of)
{
    this->pages.clear();
    this->last_key.clear();
    this->last_revision = std::max(this->last_revision, as_of);
}

void store_reader::stop()
{
    this->stopped = true;
    this->timer.cancel();
    this->client->stop();
    this->read_through_client->stop();
}

void store_reader::read_through(read_handler on_end)
{
    this->awaiting_read_through.push_back(std::move(on_end));
    if (!this->reading_through)
        this->start_read_through(
            std::exchange(this->awaiting_read_through, {}));
}

void store_reader::start_read_through(std::vector<read_handler> served)
{
    if (this->stopped || this->last_revision == 0)
        return this->end_read_through(served, false);
    this->reading_through = true;
    this->read_through_client->ask(
        this->store,
        platform::watch_target("", this->last_revision, read_through_wait),
        read_through_limits,
        [this, served = std::move(served)](
            const tl::expected<relay::fetched, std::string>& response) {
            this->reading_through = false;
            const auto changes = this->apply_read_through(response);
            if (changes.value_or(0) >= full_answer_items)
                return this->start_read_through(served);
            this->end_read_through(served, changes.has_value());
        });
}

void store_reader::end_read_through(std::span<const read_handler> served,
                                    bool complete)
{
    for (const read_handler& one : served)
        one(complete);
    if (!this->awaiting_read_through.empty() && !this->reading_through)
        this->start_read_through(
            std::exchange(this->awaiting_read_through, {}));
}

std::optional<std::size_t> store_reader::apply_read_through(
    const tl::expected<relay::fetched, std::string>& response)
{
    if (!response || response->status != relay::status_ok)
        return std::nullopt;
    const auto changes = platform::read_store_answer(response->body);
    if (!changes)
        return std::nullopt;
    this->last_revision = std::max(this->last_revision, changes->as_of);
    this->events.call_answered();
    this->events.items_received(changes->items, this->last_revision, false);
    return changes->items.size();
}

void store_reader::start_call()
{
    if (this->stopped)
        return;
    this->timer.cancel();
    this->call_in_progress = true;
    if (this->last_revision == 0)
        this->request_page();
    else
        this->request_watch();
}

void store_reader::request_page()
{
    this->client->ask(
        this->store,
        platform::range_target("", this->last_key),
        call_limits,
        [this](tl::expected<relay::fetched, std::string> response) {
            this->call_in_progress = false;
            if (!response)
                return this->on_page_failed(response.error());
            this->on_page(*response);
        });
}

void store_reader::on_page_failed(const std::string& why)
{
    if (!this->resumes_listings)
        return this->on_failure(why);
    auto read_so_far = std::exchange(this->pages, {});
    auto next_after = std::exchange(this->last_key, {});
    this->on_failure(why);
    this->pages = std::move(read_so_far);
    this->last_key = std::move(next_after);
}

void store_reader::on_page(const relay::fetched& response)
{
    if (response.status != relay::status_ok)
        return this->on_page_failed("status " +
                                    std::to_string(response.status));
    auto page = platform::read_store_answer(response.body);
    if (!page)
        return this->on_failure("unreadable page");
    if (this->last_revision > 0) { // a listing was adopted meanwhile
        this->failures = 0;
        this->events.page_received(page->items);
        return this->schedule_next_call(this->poll_interval);
    }
    this->pages_revision = this->last_key.empty()
                               ? page->as_of
                               : std::min(this->pages_revision, page->as_of);
    if (page->more)
        return this->on_partial_page(page->items);
    for (routing::store_item& one : page->items)
        this->pages.push_back(std::move(one));
    this->failures = 0;
    this->last_revision = this->pages_revision;
    this->last_key.clear();
    this->events.call_answered();
    const routing::store_item_list listed = std::exchange(this->pages, {});
    this->events.items_received(listed, this->last_revision, true);
    this->schedule_next_call(this->poll_interval);
}

// Other programs' items may fill a thousand pages. The configuration, which is
// on the first one, must not wait for the last.
void store_reader::on_partial_page(routing::store_item_list& items)
{
    if (items.empty() || items.back().key <= this->last_key)
        return this->on_failure("page does not go beyond the previous one");
    this->events.page_received(items);
    this->last_key = items.back().key;
    for (routing::store_item& one : items)
        this->pages.push_back(std::move(one));
    this->start_call();
}

void store_reader::request_watch()
{
    this->client->ask(
        this->store,
        platform::watch_target("", this->last_revision, watch_timeout),
        call_limits,
        [this](tl::expected<relay::fetched, std::string> response) {
            this->call_in_progress = false;
            if (!response)
                return this->on_watch_failed(response.error());
            this->on_watch(*response);
        });
}

// The changes since the last call may be too large for one answer. A full
// listing comes in pages.
void store_reader::on_watch_failed(const std::string& why)
{
    if (why == relay::too_large)
        this->last_revision = 0;
    this->on_failure(why);
}

void store_reader::on_watch(const relay::fetched& response)
{
    if (response.status == platform::history_dropped_status) {
        this->last_revision = 0;
        return this->start_call();
    }
    if (response.status != relay::status_ok)
        return this->on_failure("status " + std::to_string(response.status));
    const auto changes = platform::read_store_answer(response.body);
    if (!changes)
        return this->on_failure("unreadable watch response");
    this->failures = 0;
    this->last_revision = std::max(this->last_revision, changes->as_of);
    this->events.call_answered();
    this->events.items_received(changes->items, this->last_revision, false);
    this->schedule_next_call(this->poll_interval);
}

void store_reader::on_failure(const std::string& why)
{
    this->pages.clear();
    this->last_key.clear();
    this->failures = std::min(this->failures + 1, max_backoff_steps);
    this->events.call_failed(why);
    const base::duration backoff = backoff_step * this->failures;
    this->schedule_next_call(this->last_revision > 0 &&
                                     this->events.peer_reads_store()
                                 ? idle_backoff
                                 : backoff);
}

void store_reader::schedule_next_call(base::duration pause)
{
    if (this->stopped)
        return;
    this->timer.expires_after(pause);
    this->timer.async_wait([this](relay::error_code fault) {
        if (fault || this->call_in_progress)
            return;
        if (this->is_idle())
            this->schedule_next_call(idle_check_interval);
        else
            this->start_call();
    });
}

// After a failure the reader goes on until the store has answered: how long the
// store was unreachable decides how expired leases are treated.
bool store_reader::is_idle() const
{
    if (this->last_revision == 0)
        return this->events.awaits_listing();
    return !this->failing() && this->events.peer_reads_store();
}

} // namespace greengagedrum::entry
