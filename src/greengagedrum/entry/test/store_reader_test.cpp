// Reading a store that holds other programs' items.
#include <greengagedrum/entry/store_reader.hpp>
#include <greengagedrum/entry/test/entry_fixture.hpp>

namespace greengagedrum::entry
{

namespace
{

using namespace std::chrono_literals;

constexpr const char* json_type = "application/json";

// "e30=" is an empty JSON object in Base64.
const std::string config_page =
    R"({"entries": [{"key": "op/config", "value": "e30=", "revision": 1}],)"
    R"( "hasMore": true, "at": 2})";
const std::string last_page =
    R"({"entries": [{"key": "op/config", "value": "e30=", "revision": 1}],)"
    R"( "hasMore": false, "at": 2})";

class reader_fixture
{
public:
    ~reader_fixture()
    {
        this->reader->stop();
        this->context.run_for(10ms);
        this->store.stop();
    }

    void start()
    {
        this->store.start();
        store_events callbacks;
        callbacks.items_received =
            [this](const routing::store_item_list& items, std::uint64_t, bool) {
                this->listings += 1;
                this->listed_items = items.size();
            };
        callbacks.page_received =
            [this](const routing::store_item_list& items) {
                this->partial_pages += 1;
                CHECK(items.front().key == "op/config");
            };
        callbacks.call_failed = [this](const std::string&) {
            this->failures += 1;
        };
        callbacks.call_answered = [] {};
        callbacks.peer_reads_store = [] { return false; };
        callbacks.awaits_listing = [this] { return this->awaiting; };
        this->reader = std::make_unique<store_reader>(
            this->context,
            base::ip_endpoint{"127.0.0.1",
                              static_cast<std::uint16_t>(this->store.port)},
            std::move(callbacks));
        this->reader->set_resuming(this->resuming);
        this->reader->start();
    }

    void run_until(const std::function<bool()>& done)
    {
        for (int tries = 0; tries < 300 && !done(); ++tries)
            this->context.run_for(10ms);
    }

    relay::asio::io_context context;
    fake_http_server store;
    std::unique_ptr<store_reader> reader;
    int listings = 0;
    int partial_pages = 0;
    int failures = 0;
    std::size_t listed_items = 0;
    bool awaiting = false;
    bool resuming = false;
    std::atomic<int> range_calls{0};
    std::atomic<int> first_page_calls{0};
};

} // namespace

// A thousand pages of another program's items follow the first page. Requests
// are refused until the configuration is known, which is on that first page. A
// part of the listing must not count as an update of the whole state after a
// pause.
TEST_CASE_FIXTURE(reader_fixture,
                  "configuration_does_not_wait_for_the_last_page")
{
    this->store.server.Get(
        "/kv-range",
        [this](const httplib::Request& request, httplib::Response& response) {
            this->range_calls += 1;
            if (request.has_param("after"))
                response.status = 503;
            else
                response.set_content(config_page, json_type);
        });
    this->start();
    this->run_until([this] { return this->failures > 0; });
    CHECK(this->partial_pages > 0);
    CHECK(this->listings == 0);
}

// The store returns the same items for every page and says that more follow. A
// reader that asks for the next page at once would never stop.
TEST_CASE_FIXTURE(reader_fixture, "listing_whose_pages_repeat_is_given_up")
{
    this->store.server.Get(
        "/kv-range",
        [this](const httplib::Request&, httplib::Response& response) {
            this->range_calls += 1;
            response.set_content(config_page, json_type);
        });
    this->start();
    this->run_until(
        [this] { return this->failures > 0 || this->range_calls > 50; });
    CHECK(this->failures > 0);
    CHECK(this->range_calls < 10);
}

// Another program wrote so much into the store that one response would hold
// tens of megabytes. The response is not read into memory; the changes are read
// in pages instead.
TEST_CASE_FIXTURE(reader_fixture, "watch_too_large_is_read_in_pages")
{
    this->store.server.Get(
        "/kv-range",
        [this](const httplib::Request&, httplib::Response& response) {
            this->range_calls += 1;
            response.set_content(last_page, json_type);
        });
    // The handler owns the text: the store responds until the fixture is
    // destroyed.
    this->store.server.Get(
        "/kv-watch",
        [large = std::string(relay::fetched_bytes_most + (1U << 20U), ' ')](
            const httplib::Request&, httplib::Response& response) {
            response.set_content(large, json_type);
        });
    this->start();
    this->run_until([this] { return this->range_calls > 1; });
    CHECK(this->range_calls > 1);
    CHECK(this->listings > 0);
}

// A listing that begins again at each lost answer fills a narrow link with the
// same pages.
TEST_CASE_FIXTURE(reader_fixture,
                  "interrupted_listing_goes_on_at_the_page_that_failed")
{
    this->store.server.Get(
        "/kv-range",
        [this](const httplib::Request& request, httplib::Response& response) {
            if (!request.has_param("after")) {
                this->first_page_calls += 1;
                response.set_content(config_page, json_type);
                return;
            }
            // The store answers the second page only at the third try.
            if (++this->range_calls < 3) {
                response.status = 503;
                return;
            }
            response.set_content(
                R"({"entries": [{"key": "servers/a", "value": "e30=",)"
                R"( "revision": 1}], "hasMore": false, "at": 2})",
                json_type);
        });
    this->resuming = true;
    this->start();
    this->run_until([this] { return this->listings > 0; });
    CHECK(this->listed_items == 2);
    CHECK(this->first_page_calls == 1);
}

// An entry that lists the store although a peer passes the listing on.
TEST_CASE_FIXTURE(reader_fixture, "adopted_listing_is_followed_by_a_watch")
{
    std::atomic<int> watch_calls{0};
    this->store.server.Get(
        "/kv-range",
        [this](const httplib::Request&, httplib::Response& response) {
            this->range_calls += 1;
            response.set_content(last_page, json_type);
        });
    this->store.server.Get(
        "/kv-watch",
        [&watch_calls](const httplib::Request& request,
                       httplib::Response& response) {
            watch_calls += request.get_param_value("after") == "7" ? 1 : 0;
            response.set_content(R"({"events": [], "at": 7})", json_type);
        });
    this->awaiting = true;
    this->start();
    this->context.run_for(250ms);
    CHECK(this->range_calls == 0);
    this->reader->adopt_listing(7);
    this->run_until([&] { return watch_calls > 0; });
    CHECK(watch_calls > 0);
    CHECK(this->range_calls == 0);
}

} // namespace greengagedrum::entry
